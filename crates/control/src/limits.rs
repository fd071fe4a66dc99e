//! Constants of the control machines.

use std::time::Duration;

/// Table reads a second of the whole fleet for polling; the platform allows 2,000 for all uses.
pub const FLEET_POLLS_PER_S: f64 = 50.0;
/// Shortest interval between two polls of one process.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between two polls of one process.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Share by which each poll interval is lengthened at random, so that polls spread.
pub const POLL_JITTER: f64 = 0.2;

/// Interval between two beacons of a process that has a version.
pub const BEACON_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two beacons of a process that has none yet.
pub const INITIAL_BEACON_INTERVAL: Duration = Duration::from_millis(200);
/// Peers that receive one beacon.
pub const BEACON_FANOUT: usize = 1;
/// Peers that hear of a version at once from each process that puts it in force.
pub const PUSH_FANOUT: usize = 4;

/// Time for which the operator's command announces an accepted version and serves its content.
pub const ANNOUNCE_DURATION: Duration = Duration::from_secs(3);

/// Time after which a fetch counts as failed.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the first further fetch, at most; it doubles with every failure.
pub const FETCH_BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Longest pause between two fetches.
pub const MAX_FETCH_BACKOFF: Duration = Duration::from_secs(2);
/// Known holders of the wanted content that are kept.
pub const MAX_HOLDERS: usize = 8;
/// Every so many fetches, the object store is asked instead of a peer.
pub const OBJECT_FETCH_PERIOD: u32 = 3;
/// Fetches that one process serves at the same time.
pub const MAX_SERVED_FETCHES: u32 = 4;

/// Times that a promotion sends its transaction while its effect is open.
pub const MAX_COMMIT_ATTEMPTS: u32 = 3;
/// Times that a promotion tries to read back.
pub const MAX_READ_ATTEMPTS: u32 = 3;

/// Renewals within one term of a lease.
pub const RENEWALS_PER_TERM: u32 = 3;

/// Time without a direct report after which a VM that isn't on the list is forgotten.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(30);
/// Interval between two probes of an address whose process isn't known for sure.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
