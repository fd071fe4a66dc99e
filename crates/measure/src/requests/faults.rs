//! Rates of the faults and sizes of the fleet in the experiment.

/// What goes wrong, and how often.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Mean time between two new requests.
    pub gap_us: u64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub copies: f64,
    /// Share of messages that are delayed up to `late_us`.
    pub late: f64,
    /// Longest delay in microseconds.
    pub late_us: u64,
    /// Share of answers whose frames may overtake each other.
    pub shuffled: f64,
    /// Share of table requests or responses that are lost.
    pub store_loss: f64,
    /// Share of executions in which the backend server fails.
    pub backend: f64,
    /// Share of callers that hang up.
    pub hang_up: f64,
    /// Mean time in microseconds between two faults of processes or of the table; 0 for none.
    pub interval_us: u64,
    /// Longest freeze in microseconds of a process whose clock goes on.
    pub freeze_us: u64,
    /// Longest freeze in microseconds of a process whose clock stops.
    pub pause_us: u64,
}

impl Faults {
    /// No faults at all.
    pub fn none() -> Self {
        Self {
            gap_us: 3_000,
            loss: 0.0,
            copies: 0.0,
            late: 0.0,
            late_us: 0,
            shuffled: 0.0,
            store_loss: 0.0,
            backend: 0.0,
            hang_up: 0.0,
            interval_us: 0,
            freeze_us: 0,
            pause_us: 0,
        }
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            gap_us: 3_000,
            loss: 0.01,
            copies: 0.02,
            late: 0.01,
            // Longer than the four windows for which an agent remembers.
            late_us: 200_000_000,
            shuffled: 0.1,
            store_loss: 0.05,
            backend: 0.01,
            hang_up: 0.02,
            interval_us: 2_000_000,
            freeze_us: 250_000_000,
            // A claim must outlive the freezes of a process that can't notice them.
            pause_us: 60_000_000,
        }
    }
}

/// Entries of the fleet.
pub const ENTRIES: usize = 5;
/// Agents of the fleet.
pub const AGENTS: usize = 8;
/// Executions that a backend server runs at once.
pub const SLOTS: usize = 16;
/// Attempts that wait at an agent before more are refused.
pub const QUEUE: usize = 64;
/// Time between two reports of an agent to an entry.
pub const REPORT_US: u64 = 1_000_000;
/// Age of a report from which an entry avoids the agent.
pub const SILENCE_US: u64 = 3_000_000;
/// How long an entry waits for the table or for a lookup.
pub const ASK_US: u64 = 500_000;
/// How long a draining agent waits for running work.
pub const DRAIN_US: u64 = 20_000_000;
/// Frames that an agent keeps of each answer; few, so that some streams can't be resumed.
pub const HELD_FRAMES: usize = 4;
/// How long an agent keeps a broken stream.
pub const HOLD_US: u64 = 2_000_000;
