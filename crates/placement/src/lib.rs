//! Expert placement policy: counts in, a map with its cost and explanation out.
//!
//! Everything here is pure: a caller passes in counts, the map in force and what may be loaded.

pub mod bound;
pub mod codec;
pub mod counts;
pub mod even_split;
pub mod explanation;
pub mod map;
mod model;
pub mod packing;
pub mod policy;
mod priced;
pub mod recent_demand;
mod split;
mod watch;

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
