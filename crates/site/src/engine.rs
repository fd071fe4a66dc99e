//! Interface to the engine of one rank: its state, expert counts and placement orders.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::EngineGroup;

/// Expert ids by layer set and position: the experts of one rank for each set, or those of each
/// rank for one set.
pub type Placement = Vec<Vec<u16>>;

/// Expert map that a rank will switch to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// Pass at whose start the rank switches to the map.
    pub step: u64,
}

/// State of one rank.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// Engine group of the rank.
    pub group: EngineGroup,
    /// Increases each time the group opens.
    pub epoch: u64,
    /// Index of the rank in the group.
    pub rank: u16,
    /// Number of ranks in the group.
    pub size: u16,
    /// Whether the group runs passes.
    pub open: bool,
    /// Number of the latest pass that has started.
    pub step: u64,
    /// Version of the active map.
    pub map: u64,
    /// Version of the latest map whose experts are all copied.
    pub prepared: Option<u64>,
    /// Map that the rank will switch to.
    pub armed: Option<Armed>,
    /// Pass that the group may not start until it is released.
    pub held: Option<u64>,
    /// Whether the rank is executing an order.
    pub busy: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Slowdown factor: time per unit of work relative to a healthy rank.
    pub pace: f64,
}

/// How often the requests of a rank chose each expert.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// Number of the latest pass that has started.
    pub step: u64,
    /// Epoch in which the choices were counted.
    pub epoch: u64,
    /// Cumulative count of each expert since the rank started, ordered by set.
    pub counts: Vec<u64>,
}

/// Action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Task {
    /// Copy the experts that a map requires.
    Prepare {
        /// Version of the map, higher than all earlier versions at the rank.
        version: u64,
        /// Experts by set and rank.
        map: Vec<Placement>,
    },
    /// Switch to a prepared map at the start of a pass.
    Arm(Armed),
    /// Cancel an [`Arm`](Task::Arm).
    Disarm {
        /// Version of the armed map.
        version: u64,
    },
    /// Prevent the group from starting a pass.
    Hold {
        /// Number of the pass.
        step: u64,
    },
    /// Release a held pass.
    Go {
        /// Number of the pass.
        step: u64,
    },
}

impl Task {
    /// Returns the operation's name in orders to the engine and in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Task::Prepare { .. } => "prepare",
            Task::Arm(_) => "arm",
            Task::Disarm { .. } => "disarm",
            Task::Hold { .. } => "hold",
            Task::Go { .. } => "go",
        }
    }
}

/// Order to a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Requested action.
    pub task: Task,
    /// The only epoch in which the rank may start the action.
    pub epoch: u64,
}

/// Reply of a rank to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The rank started the action.
    Begun,
    /// The requested state is already in effect.
    Holds,
    /// The order does not match the rank's state, epoch or sequence; nothing was started.
    Refused,
    /// The outcome is unknown: the rank may have started the action, or may start it later.
    Unknown,
}

/// Client of the engines of a group.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Reads the state of a rank; `None` without a valid response, or if the engine is in no group.
    async fn read_state(&self, rank: SocketAddr) -> Option<RankState>;

    /// Reads the expert counts of a rank.
    async fn read_counts(&self, rank: SocketAddr) -> Option<ExpertCounts>;

    /// Reads the experts of a rank by set, as of the active map.
    async fn read_placement(&self, rank: SocketAddr) -> Option<Placement>;

    /// Sends an order to a rank.
    async fn send_order(&self, rank: SocketAddr, order: &Order) -> OrderReply;
}
