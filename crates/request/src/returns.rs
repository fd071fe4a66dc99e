//! When callers of refused requests should come back.
//!
//! Answers the load pattern of a service that is full or closed for a moment: callers that come back
//! too early are refused again, callers that all come back at once fill the queue again, and a
//! caller that is told to wait for too long does not come back at all.

use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// All replicas have as much as they can do.
    Full,
    /// No replica runs anything; a group of engines takes a second or two to open again.
    Closed,
    /// Connections failed or replicas refused for another reason.
    Broken,
}

/// Part of the time left that callers wait at most before they come back.
const MOST_PART: f64 = 0.3;

impl Cause {
    /// Earliest and latest return.
    fn range(self) -> (Duration, Duration) {
        match self {
            Cause::Full => (Duration::from_millis(800), Duration::from_millis(2_400)),
            Cause::Closed => (Duration::from_millis(1_200), Duration::from_millis(2_200)),
            Cause::Broken => (Duration::from_millis(150), Duration::from_millis(500)),
        }
    }
}

/// The time after which the caller should come back, of the time `left`. `draw` is a random number;
/// it spreads the returns.
pub fn find_return(cause: Cause, left: Duration, draw: u32) -> Duration {
    let (earliest, latest) = cause.range();
    let part = f64::from(draw) / f64::from(u32::MAX);
    let after = earliest + (latest - earliest).mul_f64(part);
    let most = left.mul_f64(MOST_PART);
    if after <= most {
        return after;
    }
    // Little time is left: the returns are spread over the second half of it.
    most.mul_f64(0.5 + 0.5 * part)
}
