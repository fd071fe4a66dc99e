//! Expert placement policies: they turn token counts into an expert map with its cost and
//! explanation.
//!
//! The code is free of I/O: the caller passes in the counts, the map in force and the load budget.

pub mod bound;
mod change_detector;
pub mod codec;
pub mod counts;
pub mod even_split;
pub mod explanation;
pub mod map;
pub mod packing;
pub mod plan_gate;
pub mod policy;
mod priced;
pub mod recent_demand;
mod split;
mod step_time;

pub use codec::CodecError;
pub use codec::Report;
pub use counts::Demand;
pub use counts::DemandEstimator;
pub use counts::LayerDemand;
pub use counts::ReportError;
pub use explanation::Explanation;
pub use map::ExpertMap;
pub use map::LayerMap;
pub use map::MapError;
pub use map::Replica;
pub use map::Shape;
pub use policy::Cost;
pub use policy::Decision;
pub use policy::MapChange;
pub use policy::Policy;
pub use policy::PolicyInput;
pub use policy::PolicyKind;
pub use policy::Price;
pub use policy::WeightLoad;
