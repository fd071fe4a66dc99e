//! Border to the engine of one rank: its state, its counts and the orders that it takes.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Experts of one rank, by set.
pub type Placement = Vec<Vec<u16>>;

/// A map that a rank is armed with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// Pass at whose beginning the rank switches to it.
    pub step: u64,
}

/// State of one rank.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// Name of the group.
    pub group: SmolStr,
    /// Grows each time the group opens.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// Ranks of the group.
    pub size: u16,
    /// Whether the group runs passes.
    pub open: bool,
    /// The pass that was begun last.
    pub step: u64,
    /// Version of the map in force.
    pub map: u64,
    /// Version of the map whose experts are all copied.
    pub prepared: Option<u64>,
    /// The map that the rank will switch to.
    pub armed: Option<Armed>,
    /// The pass that the group may not begin yet.
    pub held: Option<u64>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Time that its work takes, as a multiple of the usual time.
    pub pace: f64,
}

/// What a rank's requests chose.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// The pass that was begun last.
    pub step: u64,
    /// The epoch in which the counts were made.
    pub epoch: u64,
    /// How often each expert was chosen since the rank started, set after set.
    pub counts: Vec<u64>,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Task {
    /// Copy the experts of a map.
    Prepare {
        /// The map's version, higher than all versions that the rank has had.
        version: u64,
        /// Experts by set and rank.
        map: Vec<Placement>,
    },
    /// Switch to a prepared map as a pass begins.
    Arm(Armed),
    /// Take an arm back.
    Disarm {
        /// Version of the armed map.
        version: u64,
    },
    /// Keep the group from beginning a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let the group begin a pass that was held.
    Go {
        /// The pass.
        step: u64,
    },
}

impl Task {
    /// The name in logs and metrics.
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

/// One order to a rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The task.
    pub task: Task,
    /// The epoch in which it may be begun.
    pub epoch: u64,
}

/// Answer of a rank to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// It was begun.
    Begun,
    /// What it asks for holds already.
    Holds,
    /// It does not fit the rank's state, epoch or sequence; nothing was begun.
    Refused,
    /// There was no answer: it may have been begun, and may be carried out later.
    Unknown,
}

/// The engines of a group.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Reads the state of a rank, `None` if it gives no usable answer.
    async fn read_state(&self, rank: SocketAddr) -> Option<RankState>;

    /// Reads what a rank's requests chose.
    async fn read_counts(&self, rank: SocketAddr) -> Option<ExpertCounts>;

    /// Reads the experts of a rank by set, as of the map in force.
    async fn read_placement(&self, rank: SocketAddr) -> Option<Placement>;

    /// Gives an order.
    async fn send_order(&self, rank: SocketAddr, order: &Order) -> OrderReply;
}
