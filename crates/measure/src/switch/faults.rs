//! Faults of a run, and the delays of messages and engine commands.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How often each fault happens; shares are from 0 to 1.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages that arrive late, so that others overtake them.
    pub late: f64,
    /// Share of engine commands and of their answers lost.
    pub local_loss: f64,
    /// Share of loads that fail.
    pub load_failures: f64,
    /// Share of loads that take longer than is allowed.
    pub slow_loads: f64,
    /// Mean time between disturbances of an agent, an engine's rank or the store; none if zero.
    pub disturbance_interval: Duration,
}

impl Faults {
    /// No faults.
    pub fn none() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            local_loss: 0.0,
            load_failures: 0.0,
            slow_loads: 0.0,
            disturbance_interval: Duration::ZERO,
        }
    }

    /// Every fault, often enough that several overlap.
    pub fn all() -> Self {
        Self {
            loss: 0.05,
            duplicates: 0.05,
            late: 0.05,
            local_loss: 0.01,
            load_failures: 0.001,
            slow_loads: 0.001,
            disturbance_interval: Duration::from_secs(4),
        }
    }

    /// Delays of the copies of a message that arrive.
    pub fn draw_arrivals(&self, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        let copies = 1 + u32::from(self.duplicates > 0.0 && rng.random_bool(self.duplicates));
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            if self.loss > 0.0 && rng.random_bool(self.loss) {
                continue;
            }
            let mut delay = draw(rng, 100, 500);
            if self.late > 0.0 && rng.random_bool(self.late) {
                // From a reordering to a message that outlives a takeover.
                let scale = rng.random_range(3..=7);
                delay += draw(rng, 1_000, 10u64.pow(scale));
            }
            arrivals.push(delay);
        }
        arrivals
    }

    /// Delay of a command to the engine or of its answer, none if it is lost.
    pub fn draw_local(&self, rng: &mut ChaCha8Rng) -> Option<Duration> {
        if self.local_loss > 0.0 && rng.random_bool(self.local_loss) {
            return None;
        }
        let mut delay = draw(rng, 50, 200);
        if self.late > 0.0 && rng.random_bool(self.late) {
            delay += draw(rng, 1_000, 300_000);
        }
        Some(delay)
    }

    /// Time of a load, and whether it succeeds.
    pub fn draw_load(&self, rng: &mut ChaCha8Rng) -> (Duration, bool) {
        let slow = self.slow_loads > 0.0 && rng.random_bool(self.slow_loads);
        let failed = self.load_failures > 0.0 && rng.random_bool(self.load_failures);
        let time = if slow {
            draw(rng, 6_000_000, 20_000_000)
        } else {
            draw(rng, 200_000, 900_000)
        };
        (time, !failed)
    }
}

/// Draws a duration from a range in microseconds.
pub fn draw(rng: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_micros(rng.random_range(from..=to))
}
