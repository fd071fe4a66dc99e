//! Monotonic time of one process.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A reading of one process's monotonic clock in microseconds since an arbitrary origin.
///
/// Readings of different processes are not comparable, so messages carry durations instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the reading `millis` milliseconds after the origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the duration since an earlier reading, or zero if that reading is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `duration` earlier, or the origin if that is later.
    pub fn before(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
