//! Settings of the state machines.

use std::time::Duration;

/// Times and sizes; the defaults suit ranks in one region with steps of 10 to 100 ms.
#[derive(Debug, Clone)]
pub struct Options {
    /// Ranks of the group.
    pub ranks: u16,
    /// Shortest time before a message or an engine write is repeated.
    pub min_backoff: Duration,
    /// Longest time before a message is repeated.
    pub max_backoff: Duration,
    /// Interval at which the coordinator tells the ranks that it is alive.
    pub heartbeat_interval: Duration,
    /// Silence of the coordinator after which a rank without a promise takes over.
    pub idle_timeout: Duration,
    /// Silence of the coordinator after which a rank with a promise takes over; shorter, because
    /// the group is held when it reaches the promised step.
    pub held_timeout: Duration,
    /// Added to the patience for each rank in turn, so that few agents take over at once.
    pub takeover_stagger: Duration,
    /// Time allowed for loading the weights of a map.
    pub load_timeout: Duration,
    /// Shortest time between the proposal and its step. Half of it is for collecting promises,
    /// half for the decision. A longer margin delays the switch but doesn't hold any step.
    pub min_margin: Duration,
    /// Longest time between the proposal and its step.
    pub max_margin: Duration,
    /// How often a switch is proposed again after its step turned out too near.
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
