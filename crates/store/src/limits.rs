//! Timeouts, backoff and circuit breaker settings of the platform clients.

use std::time::Duration;

/// Timeout of one attempt.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one call including all its attempts.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts per call.
pub const MAX_CALL_ATTEMPTS: u32 = 3;
/// Upper bound of the backoff before the first retry; it doubles with every further retry.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff before a retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Fraction of a retry that each call adds to the retry budget.
pub const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries that the budget holds.
pub const RETRY_BURST: f64 = 10.0;
/// Consecutive failures that open a breaker.
pub const BREAKER_FAILURE_THRESHOLD: u32 = 5;
/// Time for which a breaker first stays open; it doubles with every failed recovery.
pub const INITIAL_OPEN_DURATION: Duration = Duration::from_secs(1);
/// Maximum time for which a breaker stays open.
pub const MAX_OPEN_DURATION: Duration = Duration::from_secs(15);
/// Fraction of calls admitted when recovery starts; it doubles after every
/// [`RECOVERY_SUCCESSES`] successes. The first call of a recovery is always admitted.
pub const INITIAL_ADMIT_RATIO: f64 = 0.125;
/// Consecutive successes that double the admitted fraction.
pub const RECOVERY_SUCCESSES: u32 = 2;
/// Maximum size of an answer body in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
