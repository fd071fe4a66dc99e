//! Settings of the state machines.

use std::time::Duration;

/// Times and sizes; the defaults suit ranks in one region with steps of 10 to 100 ms.
#[derive(Debug, Clone)]
pub struct Options {
    /// Ranks of the group.
    pub ranks: u16,
    /// Shortest time before a message or an engine write is repeated.
    pub retry_floor: Duration,
    /// Longest time before a message is repeated.
    pub retry_cap: Duration,
    /// Interval at which the coordinator tells the ranks that it is alive.
    pub beacon_interval: Duration,
    /// Silence of the coordinator after which a rank without a promise takes over.
    pub idle_patience: Duration,
    /// Silence of the coordinator after which a rank with a promise takes over; shorter, because
    /// the group is held when it reaches the promised step.
    pub held_patience: Duration,
    /// Added to the patience for each rank in turn, so that few agents take over at once.
    pub stagger: Duration,
    /// Time allowed for loading the weights of a map.
    pub load_timeout: Duration,
    /// Shortest time between the proposal and its step. Half of it is for collecting promises,
    /// half for the decision. A longer margin delays the switch but doesn't hold any step.
    pub margin_floor: Duration,
    /// Longest time between the proposal and its step.
    pub margin_cap: Duration,
    /// How often a switch is proposed again after its step turned out too near.
    pub proposals: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ranks: 64,
            retry_floor: Duration::from_millis(20),
            retry_cap: Duration::from_millis(500),
            beacon_interval: Duration::from_secs(2),
            idle_patience: Duration::from_secs(7),
            held_patience: Duration::from_millis(600),
            stagger: Duration::from_millis(10),
            load_timeout: Duration::from_secs(60),
            margin_floor: Duration::from_secs(1),
            margin_cap: Duration::from_secs(20),
            proposals: 3,
        }
    }
}
