//! Baseline: hold the group, switch, resume.
//!
//! The coordinator closes every gate at the next step, waits until all ranks hold, tells them to
//! switch, waits again, and resumes them. It needs no margin, but every switch pauses the group.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Options;
use super::faults::Faults;
use super::tally::Tally;
use super::world::STEP_TIME;

/// Time before an unanswered message is repeated; the floor of the promised switch.
const RETRY: Duration = Duration::from_millis(20);

/// Encoded size of one message, about that of a proposal.
const MESSAGE_BYTES: u64 = 60;

/// Runs as many switches as fit into the steps; the coordinator lives through all of them.
pub fn run(options: &Options, seed: u64, loss: f64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let faults = Faults {
        loss,
        ..Faults::none()
    };
    let span = STEP_TIME.as_micros() * u128::from(options.steps);
    let switches = u64::try_from(span / 1000).unwrap_or(u64::MAX) / options.period;
    let mut tally = Tally {
        steps: options.steps,
        switches,
        ..Tally::default()
    };
    for _ in 0..switches {
        let holds: Vec<Trip> = (0..options.ranks)
            .map(|_| exchange(&faults, &mut rng, &mut tally))
            .collect();
        // The group stops at the end of the step in which the first gate closes; a rank answers
        // once it stands.
        let first = holds.iter().map(|h| h.arrived).min().unwrap_or_default();
        let stop = first + STEP_TIME.mul_f64(rng.random::<f64>());
        let held = holds.iter().map(|h| h.arrived.max(stop) + h.back).max();
        let mut switch = Duration::ZERO;
        let mut resume = Duration::ZERO;
        for _ in 0..options.ranks {
            let trip = exchange(&faults, &mut rng, &mut tally);
            switch = switch.max(trip.arrived + trip.back);
            resume = resume.max(exchange(&faults, &mut rng, &mut tally).arrived);
        }
        let pause = held.unwrap_or_default().saturating_sub(stop) + switch + resume;
        if pause > Duration::ZERO {
            tally.held_steps += 1;
            tally.pause += pause;
            tally.longest = tally.longest.max(pause);
        }
    }
    tally.bytes = tally.messages * MESSAGE_BYTES;
    tally
}

/// A message and its answer.
struct Trip {
    /// Time until the message first arrived.
    arrived: Duration,
    /// Time from there until an answer arrived.
    back: Duration,
}

/// Sends a message until it is answered.
fn exchange(faults: &Faults, rng: &mut ChaCha8Rng, tally: &mut Tally) -> Trip {
    let mut sent = Duration::ZERO;
    let mut first = None;
    loop {
        tally.messages += 1;
        if let Some(there) = faults.draw_arrivals(rng).first() {
            let arrival = sent + *there;
            let arrived = *first.get_or_insert(arrival);
            tally.messages += 1;
            let local = faults.draw_local(rng).unwrap_or_default() * 2;
            if let Some(back) = faults.draw_arrivals(rng).first() {
                let back = arrival + local + *back - arrived;
                return Trip { arrived, back };
            }
        }
        sent += RETRY;
    }
}
