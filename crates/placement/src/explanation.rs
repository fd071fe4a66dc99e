//! Reasons for placement changes and for keeping the map.

use serde::Deserialize;
use serde::Serialize;

/// Reason for a change, or for making none.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Explanation {
    /// the policy never changes the map
    Fixed,
    /// all experts were packed from scratch
    Repacked,
    /// no counts were reported yet
    NoCounts,
    /// the imbalance of layer {layer} is within the noise of its counts
    Noise {
        /// The layer.
        layer: u16,
    },
    /// the best move in layer {layer} would gain {gain:.3} and cost {cost:.3}
    #[serde(rename = "too_dear")]
    TooExpensive {
        /// The layer.
        layer: u16,
        /// Value of the saving.
        gain: f64,
        /// Cost of the move.
        cost: f64,
    },
    /// layer {layer} has no slot for another replica of its hottest experts
    NoSlot {
        /// The layer.
        layer: u16,
    },
    /// further moves are deferred by the load budget or by an urgent change
    #[serde(rename = "staged")]
    Deferred,
    /// demand for expert {expert} of layer {layer} rose suddenly; adding a replica on rank {rank}
    Burst {
        /// The layer.
        layer: u16,
        /// The expert.
        expert: u16,
        /// The rank that gets the replica.
        rank: u16,
    },
    /// adding a replica of expert {expert} of layer {layer} on rank {rank}: gain {gain:.3}, cost {cost:.3}
    Replicated {
        /// The layer.
        layer: u16,
        /// The expert.
        expert: u16,
        /// The rank that gets the replica.
        rank: u16,
        /// Value of the saving.
        gain: f64,
        /// Cost of the move.
        cost: f64,
    },
    /// rebalancing the shares of layer {layer} without loading weights: gain {gain:.3}
    Split {
        /// The layer.
        layer: u16,
        /// Value of the saving.
        gain: f64,
    },
    /// rank {rank} runs at {speed:.2} of the median speed and receives fewer tokens
    #[serde(rename = "relieved")]
    SlowRank {
        /// The rank.
        rank: u16,
        /// Its speed relative to the median.
        speed: f64,
    },
}

impl Explanation {
    /// Whether this is the reason for a change.
    pub fn is_change(&self) -> bool {
        matches!(
            self,
            Explanation::Repacked
                | Explanation::Burst { .. }
                | Explanation::Replicated { .. }
                | Explanation::Split { .. }
        )
    }

    /// The name in metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Explanation::Fixed => "fixed",
            Explanation::Repacked => "repacked",
            Explanation::NoCounts => "no_counts",
            Explanation::Noise { .. } => "noise",
            Explanation::TooExpensive { .. } => "too_dear",
            Explanation::NoSlot { .. } => "no_slot",
            Explanation::Deferred => "staged",
            Explanation::Burst { .. } => "burst",
            Explanation::Replicated { .. } => "replicated",
            Explanation::Split { .. } => "split",
            Explanation::SlowRank { .. } => "relieved",
        }
    }
}
