//! The placement policies behind one trait.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::ByteSize;

use crate::counts::Demand;
use crate::explanation::Explanation;
use crate::map::ExpertMap;
use crate::map::Shape;
use crate::packing::Replan;
use crate::priced::Priced;

/// Weighs step time saved against the cost of a change; the group's price in the document.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Worth of a unit of step-time skew avoided for one step.
    pub skew_weight: f64,
    /// Cost of loading one MiB of weights, in the same unit.
    pub byte_cost: f64,
    /// Steps for which the demand is assumed to last.
    pub horizon_steps: u64,
}

/// What a policy sees when it decides.
#[derive(Debug, Clone, Copy)]
pub struct PolicyInput<'a> {
    /// Size of the group.
    pub shape: Shape,
    /// The map in force; no other change is being loaded.
    pub map: &'a ExpertMap,
    /// What the ranks reported.
    pub demand: &'a Demand,
    /// Weights of one expert in one layer.
    pub expert_size: ByteSize,
    /// Bytes that may be loaded before the next decision.
    pub budget: ByteSize,
}

/// Weights to load into a rank before the map is switched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The layer.
    pub layer: u16,
    /// The expert whose weights are loaded.
    pub expert: u16,
    /// The rank that loads them.
    pub rank: u16,
    /// The expert whose replica gives up its slot; none if a slot is unused.
    pub evicts: Option<u16>,
}

/// What a change costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes loaded from the weight store.
    pub bytes: u64,
    /// Ranks that load anything.
    pub ranks: u32,
    /// Everything in the unit of the price: bytes, pause and cache lost.
    pub total: f64,
}

/// A new map and what it takes to reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct MapChange {
    /// The map to switch to once everything is loaded; its version follows that in force.
    pub map: ExpertMap,
    /// Weights to load; empty if only shares change.
    pub loads: Vec<WeightLoad>,
    /// Worth of the expected saving in the unit of the price.
    pub gain: f64,
    /// The cost of the change.
    pub cost: Cost,
}

/// What a policy decided.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The change to make, if any.
    pub change: Option<MapChange>,
    /// Why, for logs and status; the most important first.
    pub explanations: Vec<Explanation>,
}

/// Decides on the placement of a group once an interval.
pub trait Policy: Send {
    /// The name in settings and output.
    fn name(&self) -> &'static str;

    /// Keeps the map or proposes a change.
    fn decide(&mut self, view: &PolicyInput<'_>) -> Decision;
}

/// Which policy a coordinator follows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Never changes the map.
    Static,
    /// Packs all experts anew every interval.
    Replan,
    /// Makes the changes that pay for themselves at the group's price.
    #[default]
    Priced,
}

impl PolicyKind {
    /// The name in settings and output.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Static => "static",
            PolicyKind::Replan => "replan",
            PolicyKind::Priced => "priced",
        }
    }

    /// Builds the policy.
    pub fn build(self, price: Price) -> Box<dyn Policy> {
        match self {
            PolicyKind::Static => Box::new(Static),
            PolicyKind::Replan => Box::new(Replan),
            PolicyKind::Priced => Box::new(Priced::new(price)),
        }
    }
}

struct Static;

impl Policy for Static {
    fn name(&self) -> &'static str {
        PolicyKind::Static.as_str()
    }

    fn decide(&mut self, _view: &PolicyInput<'_>) -> Decision {
        Decision {
            change: None,
            explanations: vec![Explanation::Fixed],
        }
    }
}
