//! Fault rates of the experiment, and sizes and timeouts of its simulated fleet.

/// Rate of each fault; shares are from 0 to 1.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Mean time in microseconds between two new requests.
    pub request_interval_us: u64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub duplicates: f64,
    /// Share of messages with a delay of up to `max_delay_us`.
    pub delayed: f64,
    /// Longest delay in microseconds.
    pub max_delay_us: u64,
    /// Share of answers whose frames may be reordered and lost one by one.
    pub reordered: f64,
    /// Share of table requests or responses that are lost.
    pub store_loss: f64,
    /// Share of executions in which the backend server fails.
    pub backend_failures: f64,
    /// Share of callers that disconnect.
    pub disconnects: f64,
    /// Mean time in microseconds between two faults of a process or the table; 0 disables them.
    pub fault_interval_us: u64,
    /// Longest freeze in microseconds of a process whose clock continues.
    pub max_freeze_us: u64,
    /// Longest freeze in microseconds of a process whose clock stops.
    pub max_pause_us: u64,
}

impl Faults {
    /// Disables all faults.
    pub fn none() -> Self {
        Self {
            request_interval_us: 3_000,
            loss: 0.0,
            duplicates: 0.0,
            delayed: 0.0,
            max_delay_us: 0,
            reordered: 0.0,
            store_loss: 0.0,
            backend_failures: 0.0,
            disconnects: 0.0,
            fault_interval_us: 0,
            max_freeze_us: 0,
            max_pause_us: 0,
        }
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            request_interval_us: 3_000,
            loss: 0.01,
            duplicates: 0.02,
            delayed: 0.01,
            // Longer than the four windows for which an agent remembers attempts.
            max_delay_us: 200_000_000,
            reordered: 0.1,
            store_loss: 0.05,
            backend_failures: 0.01,
            disconnects: 0.02,
            fault_interval_us: 2_000_000,
            max_freeze_us: 250_000_000,
            // Shorter than the retention of a claim: a process whose clock stops can't detect the
            // freeze, so the claim must not expire during it.
            max_pause_us: 60_000_000,
        }
    }
}

/// Number of entries.
pub const ENTRY_COUNT: usize = 5;
/// Number of agents.
pub const AGENT_COUNT: usize = 8;
/// Executions that a backend server runs concurrently.
pub const MAX_RUNNING: usize = 16;
/// Attempts that an agent queues before it refuses more.
pub const MAX_QUEUED: usize = 64;
/// Time between two reports of an agent to an entry.
pub const REPORT_INTERVAL_US: u64 = 1_000_000;
/// Age of the last report from which an entry avoids the agent.
pub const MAX_REPORT_AGE_US: u64 = 3_000_000;
/// How long an entry waits for the table or a lookup.
pub const QUERY_TIMEOUT_US: u64 = 500_000;
/// How long a draining agent waits for running work.
pub const DRAIN_TIMEOUT_US: u64 = 20_000_000;
/// Frames of each answer that an agent buffers; few, so that some streams can't be resumed.
pub const MAX_BUFFERED_FRAMES: usize = 4;
/// How long an agent keeps a broken stream for resumption.
pub const RESUME_TIMEOUT_US: u64 = 2_000_000;
