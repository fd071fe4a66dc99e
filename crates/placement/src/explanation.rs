//! Reasons for placement changes and for keeping the map.

use serde::Deserialize;
use serde::Serialize;

/// Reason for a change, or for making none.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Explanation {
    /// the policy never changes the map
    Fixed,
    /// all experts were packed anew
    Repacked,
    /// no counts were reported yet
    NoCounts,
    /// the imbalance of layer {layer} is within the noise of its counts
    Noise {
        /// The layer with the highest load.
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
    /// layer {layer} has no slot that could take a replica with a gain
    NoSlot {
        /// The layer.
        layer: u16,
    },
    /// further moves wait for the weight store or for an urgent change
    #[serde(rename = "staged")]
    Deferred,
    /// expert {expert} of layer {layer} became hot and gets a replica on rank {rank}
    Burst {
        /// The layer.
        layer: u16,
        /// The expert.
        expert: u16,
        /// The rank that gets the replica.
        rank: u16,
    },
    /// expert {expert} of layer {layer} gets a replica on rank {rank}: gain {gain:.3}, cost {cost:.3}
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
    /// the shares of layer {layer} are split anew without loading anything: gain {gain:.3}
    Split {
        /// The layer.
        layer: u16,
        /// Value of the saving.
        gain: f64,
    },
    /// rank {rank} runs at {speed:.2} of the usual speed and is given less
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
