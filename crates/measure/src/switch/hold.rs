//! Baseline protocol: stops the group, switches the map and resumes.
//!
//! The coordinator closes every gate at the next step and waits until all ranks have stopped. It
//! then sends the switch, waits for all answers and resumes the ranks. The protocol needs no
//! margin, but every switch pauses the group.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Options;
use super::faults::Faults;
use super::stats::SwitchStats;
use super::world::STEP_TIME;

/// Time before an unanswered message is repeated. It equals `min_backoff`, the shortest retry
/// interval of the promise-based protocol.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Encoded size of one message, about the size of a proposal.
const MESSAGE_BYTES: u64 = 60;

/// Runs as many switches as fit into the steps. The coordinator never fails.
pub fn run(options: &Options, seed: u64, loss: f64) -> SwitchStats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let faults = Faults {
        loss,
        ..Faults::none()
    };
    let span = STEP_TIME.as_micros() * u128::from(options.steps);
    let switches = u64::try_from(span / 1000).unwrap_or(u64::MAX) / options.period;
    let mut stats = SwitchStats {
        steps: options.steps,
        switches,
        ..SwitchStats::default()
    };
    for _ in 0..switches {
        let holds: Vec<Exchange> = (0..options.ranks)
            .map(|_| exchange(&faults, &mut rng, &mut stats))
            .collect();
        // The group stops at the end of the step in which the first gate closes; a rank answers
        // once it has stopped.
        let first = holds.iter().map(|h| h.arrived).min().unwrap_or_default();
        let stop = first + STEP_TIME.mul_f64(rng.random::<f64>());
        let held = holds
            .iter()
            .map(|h| h.arrived.max(stop) + h.answer_delay)
            .max();
        let mut switch = Duration::ZERO;
        let mut resume = Duration::ZERO;
        for _ in 0..options.ranks {
            let switched = exchange(&faults, &mut rng, &mut stats);
            switch = switch.max(switched.arrived + switched.answer_delay);
            resume = resume.max(exchange(&faults, &mut rng, &mut stats).arrived);
        }
        let pause = held.unwrap_or_default().saturating_sub(stop) + switch + resume;
        if pause > Duration::ZERO {
            stats.held_steps += 1;
            stats.pause += pause;
            stats.longest_pause = stats.longest_pause.max(pause);
        }
    }
    stats.bytes = stats.messages * MESSAGE_BYTES;
    stats
}

/// Timing of a message and its answer.
struct Exchange {
    /// Time until the message first arrives.
    arrived: Duration,
    /// Time from that arrival until an answer arrives.
    answer_delay: Duration,
}

/// Repeats a message until an answer arrives.
fn exchange(faults: &Faults, rng: &mut ChaCha8Rng, stats: &mut SwitchStats) -> Exchange {
    let mut sent = Duration::ZERO;
    let mut first = None;
    loop {
        stats.messages += 1;
        if let Some(there) = faults.draw_arrival_delays(rng).first() {
            let arrival = sent + *there;
            let arrived = *first.get_or_insert(arrival);
            stats.messages += 1;
            let local = faults.draw_command_delay(rng).unwrap_or_default() * 2;
            if let Some(back) = faults.draw_arrival_delays(rng).first() {
                let answer_delay = arrival + local + *back - arrived;
                return Exchange {
                    arrived,
                    answer_delay,
                };
            }
        }
        sent += RETRY_INTERVAL;
    }
}
