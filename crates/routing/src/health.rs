//! Health of one replica as one entry sees it.

use std::time::Duration;

use siskinbend_types::Time;

/// Limits of the health checks.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Failures or stalls in a row that eject a replica.
    pub failures: u32,
    /// A replica not heard from for this long is probed.
    pub quiet: Duration,
    /// A probe unanswered for this long makes the replica silent.
    pub answer: Duration,
    /// Lack of progress of the backend server with work running that ejects the replica.
    pub stall: Duration,
    /// First ejection; each further one in a row takes twice as long, up to `longest`.
    pub shortest: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// Time over which a replica's share of requests grows back after an ejection.
    pub readmission: Duration,
    /// First-token time above this multiple of the median of the replicas is an outlier.
    pub outlier: f64,
    /// Largest share of the replicas that may be ejected for failures or slowness.
    pub cap: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 3,
            quiet: Duration::from_millis(1_000),
            answer: Duration::from_millis(1_500),
            stall: Duration::from_millis(1_500),
            shortest: Duration::from_secs(5),
            longest: Duration::from_secs(60),
            readmission: Duration::from_secs(10),
            outlier: 3.0,
            cap: 0.34,
        }
    }
}

/// Record of one replica's failures.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures in a row.
    pub failed: u32,
    /// End of the ejection, if ejected.
    pub until: Option<Time>,
}
