//! The expert map: which ranks hold a replica of each expert, and how its tokens are split over
//! them.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::Version;

/// Sum of the shares of an expert's replicas.
pub const FULL_SHARE: u16 = 10_000;

/// Dimensions of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of ranks.
    pub ranks: u16,
    /// Experts in each layer.
    pub experts: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts that a rank can hold in each layer.
    pub slots: u16,
}

/// A replica of an expert on a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The rank.
    pub rank: u16,
    /// Share of the expert's tokens, out of [`FULL_SHARE`]; 0 for weights that are loaded but
    /// unused.
    pub share: u16,
}

/// The replicas of one layer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerMap {
    /// The replicas of each expert, in order of ranks.
    pub experts: Vec<Vec<Replica>>,
}

/// The expert map of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Increases with every change.
    pub version: Version,
    /// The layers.
    pub layers: Vec<LayerMap>,
}

/// Reason why a map is invalid for a group.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum MapError {
    /// the map has {0} layers instead of {1}
    LayerCount(usize, u16),
    /// layer {0} has {1} experts instead of {2}
    ExpertCount(usize, usize, u16),
    /// expert {1} of layer {0} has no replica
    Unplaced(usize, usize),
    /// the ranks of expert {1} of layer {0} are unknown to the group or not strictly ascending
    ReplicaOrder(usize, usize),
    /// the shares of expert {1} of layer {0} add up to {2} instead of 10000
    ShareSum(usize, usize, u32),
    /// rank {1} holds {2} experts of layer {0}, more than it has slots
    SlotsExceeded(usize, usize, u16),
    /// {0} experts do not fit into {1} slots
    TooManyExperts(u32, u32),
}

impl std::error::Error for MapError {}

impl ExpertMap {
    /// The map of a group whose demand is not known yet. Distributes the experts over the ranks in
    /// order, with one replica each.
    ///
    /// # Errors
    ///
    /// Returns [`MapError::TooManyExperts`] if the experts do not fit.
    pub fn initial(shape: Shape) -> Result<ExpertMap, MapError> {
        let slots = u32::from(shape.ranks) * u32::from(shape.slots);
        if u32::from(shape.experts) > slots {
            return Err(MapError::TooManyExperts(u32::from(shape.experts), slots));
        }
        let assign = |expert: u16| {
            let rank = u32::from(expert) * u32::from(shape.ranks) / u32::from(shape.experts);
            vec![Replica {
                rank: u16::try_from(rank).unwrap_or(u16::MAX),
                share: FULL_SHARE,
            }]
        };
        let layer = LayerMap {
            experts: (0..shape.experts).map(assign).collect(),
        };
        Ok(ExpertMap {
            version: Version(0),
            layers: vec![layer; usize::from(shape.layers)],
        })
    }

    /// Checks that every expert is placed, that its shares add up to [`FULL_SHARE`] and that no
    /// rank exceeds its slots.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the map breaks.
    pub fn validate(&self, shape: Shape) -> Result<(), MapError> {
        if self.layers.len() != usize::from(shape.layers) {
            return Err(MapError::LayerCount(self.layers.len(), shape.layers));
        }
        for (index, layer) in self.layers.iter().enumerate() {
            layer.validate(index, shape)?;
        }
        Ok(())
    }
}

impl LayerMap {
    fn validate(&self, index: usize, shape: Shape) -> Result<(), MapError> {
        if self.experts.len() != usize::from(shape.experts) {
            return Err(MapError::ExpertCount(
                index,
                self.experts.len(),
                shape.experts,
            ));
        }
        let mut held = vec![0u16; usize::from(shape.ranks)];
        for (expert, replicas) in self.experts.iter().enumerate() {
            if replicas.is_empty() {
                return Err(MapError::Unplaced(index, expert));
            }
            let ordered = replicas.is_sorted_by(|a, b| a.rank < b.rank);
            if !ordered || replicas.iter().any(|r| r.rank >= shape.ranks) {
                return Err(MapError::ReplicaOrder(index, expert));
            }
            let sum: u32 = replicas.iter().map(|r| u32::from(r.share)).sum();
            if sum != u32::from(FULL_SHARE) {
                return Err(MapError::ShareSum(index, expert, sum));
            }
            for replica in replicas {
                held[usize::from(replica.rank)] += 1;
            }
        }
        match held.iter().position(|n| *n > shape.slots) {
            Some(rank) => Err(MapError::SlotsExceeded(index, rank, held[rank])),
            None => Ok(()),
        }
    }

    /// The experts that a rank holds, with their shares, in order of experts.
    pub fn list_hosted(&self, rank: u16) -> impl Iterator<Item = (usize, u16)> + '_ {
        self.experts.iter().enumerate().filter_map(move |(e, on)| {
            let replica = on.iter().find(|r| r.rank == rank)?;
            Some((e, replica.share))
        })
    }

    /// The load of each rank in the unit of `demand`, which holds one value per expert.
    pub fn sum_loads(&self, demand: &[f64], ranks: u16) -> Vec<f64> {
        let mut loads = vec![0.0; usize::from(ranks)];
        for (replicas, tokens) in self.experts.iter().zip(demand) {
            for replica in replicas {
                loads[usize::from(replica.rank)] +=
                    tokens * f64::from(replica.share) / f64::from(FULL_SHARE);
            }
        }
        loads
    }
}
