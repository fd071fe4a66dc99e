//! Limits, intervals and timeouts of the control state machines.

use std::time::Duration;

/// Table reads per second that all processes together spend on polling; the platform allows 2,000
/// for all uses.
pub const FLEET_POLLS_PER_S: f64 = 50.0;
/// Shortest poll interval of one process.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest poll interval of one process.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Largest random extension of a poll interval, as a fraction of it; spreads the polls.
pub const POLL_JITTER: f64 = 0.2;

/// Beacon interval of a process that has a version.
pub const BEACON_INTERVAL: Duration = Duration::from_secs(1);
/// Beacon interval of a process that has no version yet.
pub const INITIAL_BEACON_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers that each beacon is sent to.
pub const BEACON_FANOUT: usize = 1;
/// Number of peers that a process notifies at once when it activates a version.
pub const PUSH_FANOUT: usize = 4;

/// Time for which the operator's command announces an accepted version and serves its content.
pub const ANNOUNCE_DURATION: Duration = Duration::from_secs(3);

/// Time after which a fetch counts as failed.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Base of the fetch backoff; it is doubled with every attempt and drawn with full jitter.
pub const FETCH_BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Upper limit of the fetch backoff.
pub const MAX_FETCH_BACKOFF: Duration = Duration::from_secs(2);
/// Peers remembered as holders of the pending content.
pub const MAX_HOLDERS: usize = 8;
/// Every n-th fetch goes to the object store instead of a peer.
pub const OBJECT_FETCH_PERIOD: u32 = 3;
/// Fetches that one process serves concurrently.
pub const MAX_SERVED_FETCHES: u32 = 4;

/// Times that a promotion sends its transaction while the effect is unknown.
pub const MAX_COMMIT_ATTEMPTS: u32 = 3;
/// Times that a promotion tries to read back the history row.
pub const MAX_READ_ATTEMPTS: u32 = 3;

/// Renewals per lease term.
pub const RENEWALS_PER_TERM: u32 = 3;

/// Age of the last report at which a VM that is missing from the list is removed.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(30);
/// Interval between two probes of an address whose incarnation is unconfirmed.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
