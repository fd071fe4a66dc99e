//! Experiments of `scripts/measure`; each module runs one and returns its lines.

pub mod capacity;
pub mod documents;
pub mod fit;
pub mod links;
pub mod overhead;
pub mod rebalance;
pub mod requests;
pub mod routing;
pub mod switch;
