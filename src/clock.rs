//! Clocks of the process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use siskinbend_types::Time;

/// Monotonic clock for the decision crates, which take the time as an argument.
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

    /// The current time.
    pub fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub fn to_instant(&self, time: Time) -> tokio::time::Instant {
        (self.origin + Duration::from_micros(time.0)).into()
    }
}

/// Monotonic clock that also counts the time for which the VM is suspended.
///
/// It measures the age of information that expires: a process that resumes after a suspension must
/// not trust information from before it.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The current time.
    pub fn now(self) -> Time {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(reading.tv_nsec).unwrap_or_default();
        Time(seconds * 1_000_000 + nanos / 1_000)
    }
}

/// The time of day in milliseconds since 1970. The clocks of VMs may differ.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 only makes what others stated look old.
    since_epoch.unwrap_or_default().as_millis() as u64
}
