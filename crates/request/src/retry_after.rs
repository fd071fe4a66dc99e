//! Retry delays for the callers of refused requests.
//!
//! A caller that retries too early is refused again, callers that all retry at once fill the queue
//! again, and a caller that is given too long a delay does not retry at all.

use std::time::Duration;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// All replicas are at their capacity.
    Overloaded,
    /// No replica serves requests; a group of engines takes a second or two to open again.
    Closed,
    /// Connections failed or replicas refused for another reason.
    Failure,
}

/// Largest share of the remaining time that a caller is told to wait.
const MAX_DELAY_SHARE: f64 = 0.3;

impl RefusalCause {
    /// Shortest and longest delay.
    fn delay_range(self) -> (Duration, Duration) {
        match self {
            RefusalCause::Overloaded => (Duration::from_millis(800), Duration::from_millis(2_400)),
            RefusalCause::Closed => (Duration::from_millis(1_200), Duration::from_millis(2_200)),
            RefusalCause::Failure => (Duration::from_millis(150), Duration::from_millis(500)),
        }
    }
}

/// Longest delay that a caller is told, for a request with the time `remaining` until its deadline.
pub fn max_retry_delay(remaining: Duration) -> Duration {
    remaining.mul_f64(MAX_DELAY_SHARE)
}

/// Delay after which the caller should retry, for a request with the time `remaining` until its
/// deadline. `draw` is a random number that spreads the retries.
pub fn find_retry_delay(cause: RefusalCause, remaining: Duration, draw: u32) -> Duration {
    let (shortest, longest) = cause.delay_range();
    let position = f64::from(draw) / f64::from(u32::MAX);
    let delay = shortest + (longest - shortest).mul_f64(position);
    let max_delay = max_retry_delay(remaining);
    if delay <= max_delay {
        return delay;
    }
    // Little time remains: the retries are spread over the second half of the longest delay.
    max_delay.mul_f64(0.5 + 0.5 * position)
}
