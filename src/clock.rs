//! The process's monotonic clock.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

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

/// Reads a clock that also counts the time for which the VM is suspended.
///
/// Beliefs that expire are measured by it: a process that wakes up must not trust what it knew
/// before.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The present reading.
    pub fn now(self) -> Time {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(reading.tv_nsec).unwrap_or_default();
        Time(seconds * 1_000_000 + nanos / 1_000)
    }
}
