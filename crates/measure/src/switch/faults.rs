//! Fault rates of a run, and random delays of messages and engine commands.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Rate of each fault; shares are from 0 to 1.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages and engine commands with an additional delay, so that later ones overtake
    /// them.
    pub late: f64,
    /// Share of engine commands and of their responses lost.
    pub command_loss: f64,
    /// Share of loads that fail.
    pub load_failures: f64,
    /// Share of loads that exceed the load timeout.
    pub slow_loads: f64,
    /// Mean time between random faults of an agent, an engine or the store; zero disables them.
    pub disturbance_interval: Duration,
}

impl Faults {
    /// Disables all faults.
    pub fn none() -> Self {
        Self {
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            command_loss: 0.0,
            load_failures: 0.0,
            slow_loads: 0.0,
            disturbance_interval: Duration::ZERO,
        }
    }

    /// Enables every fault, at rates at which several overlap.
    pub fn all() -> Self {
        Self {
            loss: 0.05,
            duplicates: 0.05,
            late: 0.05,
            command_loss: 0.01,
            load_failures: 0.001,
            slow_loads: 0.001,
            disturbance_interval: Duration::from_secs(4),
        }
    }

    /// Draws the delay of each copy of a message that arrives; empty if the message is lost.
    pub fn draw_arrival_delays(&self, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        let copies = 1 + u32::from(self.duplicates > 0.0 && rng.random_bool(self.duplicates));
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            if self.loss > 0.0 && rng.random_bool(self.loss) {
                continue;
            }
            let mut delay = draw_duration(rng, 100, 500);
            if self.late > 0.0 && rng.random_bool(self.late) {
                // Delays range from a reordering to a message that arrives after a takeover.
                let scale = rng.random_range(3..=7);
                delay += draw_duration(rng, 1_000, 10u64.pow(scale));
            }
            arrivals.push(delay);
        }
        arrivals
    }

    /// Draws the delay of a command to the engine or of its response; `None` if it is lost.
    pub fn draw_command_delay(&self, rng: &mut ChaCha8Rng) -> Option<Duration> {
        if self.command_loss > 0.0 && rng.random_bool(self.command_loss) {
            return None;
        }
        let mut delay = draw_duration(rng, 50, 200);
        if self.late > 0.0 && rng.random_bool(self.late) {
            delay += draw_duration(rng, 1_000, 300_000);
        }
        Some(delay)
    }

    /// Draws the duration of a load, and whether it succeeds.
    pub fn draw_load(&self, rng: &mut ChaCha8Rng) -> (Duration, bool) {
        let slow = self.slow_loads > 0.0 && rng.random_bool(self.slow_loads);
        let failed = self.load_failures > 0.0 && rng.random_bool(self.load_failures);
        let time = if slow {
            draw_duration(rng, 6_000_000, 20_000_000)
        } else {
            draw_duration(rng, 200_000, 900_000)
        };
        (time, !failed)
    }
}

/// Draws a duration from a range in microseconds.
pub fn draw_duration(rng: &mut ChaCha8Rng, from: u64, to: u64) -> Duration {
    Duration::from_micros(rng.random_range(from..=to))
}
