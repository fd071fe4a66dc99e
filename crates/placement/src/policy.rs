//! The interface of the placement policies, and their inputs and decisions.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::ByteSize;

use crate::counts::Demand;
use crate::explanation::Explanation;
use crate::map::ExpertMap;
use crate::map::Shape;
use crate::packing::ReplanPolicy;
use crate::priced::PricedPolicy;

/// Converts saved step time and loaded bytes into a common unit; the group's price in the document.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Value of one unit of step-time skew avoided for one step.
    pub skew_weight: f64,
    /// Cost of loading one MiB of weights, in the same unit.
    pub byte_cost: f64,
    /// Maximum number of steps for which a saving is counted.
    pub horizon_steps: u64,
}

/// Input of a policy decision.
#[derive(Debug, Clone, Copy)]
pub struct PolicyInput<'a> {
    /// Dimensions of the group.
    pub shape: Shape,
    /// The map in force. No other change is being loaded.
    pub map: &'a ExpertMap,
    /// Demand estimated from the reports of the ranks.
    pub demand: &'a Demand,
    /// Size of the weights of one expert in one layer.
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
    /// The expert whose replica is removed; none if a slot is unused.
    pub evicts: Option<u16>,
}

/// Cost of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Bytes loaded from the weight store.
    pub bytes: u64,
    /// Number of ranks that load weights.
    pub ranks: u32,
    /// Total cost of bytes, pause and lost cache in the unit of the price.
    pub total: f64,
}

/// A new map with the loads that it requires.
#[derive(Debug, Clone, PartialEq)]
pub struct MapChange {
    /// The map to switch to once all weights are loaded; its version follows the version in force.
    pub map: ExpertMap,
    /// Weights to load; empty if only shares change.
    pub loads: Vec<WeightLoad>,
    /// Value of the expected saving in the unit of the price.
    pub gain: f64,
    /// Cost of the loads and of the switch.
    pub cost: Cost,
}

/// Decision of a policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The change to make, if any.
    pub change: Option<MapChange>,
    /// Reasons for logs and status, the most important first.
    pub explanations: Vec<Explanation>,
}

/// Decides on the placement of a group once per interval.
pub trait Policy: Send {
    /// The name in settings and output.
    fn name(&self) -> &'static str;

    /// Keeps the map or proposes a change.
    fn decide(&mut self, view: &PolicyInput<'_>) -> Decision;
}

/// The policies that a coordinator can use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Never changes the map.
    Static,
    /// Packs all experts from scratch every interval.
    Replan,
    /// Makes only the changes whose gain exceeds their cost at the group's price.
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
            PolicyKind::Static => Box::new(StaticPolicy),
            PolicyKind::Replan => Box::new(ReplanPolicy),
            PolicyKind::Priced => Box::new(PricedPolicy::new(price)),
        }
    }
}

struct StaticPolicy;

impl Policy for StaticPolicy {
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
