//! Constants of the store clients.

use std::time::Duration;

/// Time for one attempt of a call.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for one call with all its attempts.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of one call.
pub const MAX_CALL_ATTEMPTS: u32 = 3;
/// Pause before the first retry, at most; it doubles with every further one.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause before a retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Retries allowed per call.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that an idle client may save up.
pub const RETRY_BURST: f64 = 10.0;
/// Failures in a row after which a breaker opens.
pub const BREAKER_FAILURE_THRESHOLD: u32 = 5;
/// Time for which a breaker stays open at first; it doubles with every failed recovery.
pub const INITIAL_OPEN_DURATION: Duration = Duration::from_secs(1);
/// Longest time for which a breaker stays open.
pub const MAX_OPEN_DURATION: Duration = Duration::from_secs(15);
/// Share of calls admitted when recovery begins; it doubles with every [`RECOVERY_SUCCESSES`]
/// successes. The first call of a recovery is always admitted.
pub const INITIAL_ADMIT_RATIO: f64 = 0.125;
/// Successes in a row that double the admitted share.
pub const RECOVERY_SUCCESSES: u32 = 2;
/// Largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
