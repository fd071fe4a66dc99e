//! The process's monotonic clock.

use std::time::Duration;
use std::time::Instant;

use siskinbend_types::Time;

/// Reads monotonic time for the decision code.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present reading.
    pub fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// The instant at which the clock shows `time`.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        (self.origin + Duration::from_micros(time.0)).into()
    }
}
