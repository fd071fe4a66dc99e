//! Settings of the state machines.

use std::time::Duration;

/// Timeouts and sizes. The defaults suit ranks in one region with steps of 10 to 100 ms.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of ranks of the group.
    pub ranks: u16,
    /// Minimum interval before a message or an engine write is repeated.
    pub min_backoff: Duration,
    /// Maximum interval before a message is repeated.
    pub max_backoff: Duration,
    /// Interval of the coordinator's heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a message from the coordinator after which a rank without a promise takes over.
    pub idle_timeout: Duration,
    /// Time without a message from the coordinator after which a rank with a promise takes over. It
    /// is shorter, because the group is blocked once it reaches the promised step.
    pub held_timeout: Duration,
    /// Added to the timeout once per rank index, so that few agents take over at the same time.
    pub takeover_stagger: Duration,
    /// Timeout for loading the weights of a map.
    pub load_timeout: Duration,
    /// Minimum time between a proposal and its step. Half of it is for collecting promises, half
    /// for the decision. A longer margin delays the switch but doesn't block any step.
    pub min_margin: Duration,
    /// Maximum time between a proposal and its step.
    pub max_margin: Duration,
    /// Maximum number of new proposals for a switch after a rank had already started its step.
    pub proposal_retries: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ranks: 64,
            min_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_millis(500),
            heartbeat_interval: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(7),
            held_timeout: Duration::from_millis(600),
            takeover_stagger: Duration::from_millis(10),
            load_timeout: Duration::from_secs(60),
            min_margin: Duration::from_secs(1),
            max_margin: Duration::from_secs(20),
            proposal_retries: 3,
        }
    }
}
