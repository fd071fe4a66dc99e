//! Integration tests, one file a feature.

mod document;
mod placement;
mod placement_counts;
mod rebalance;
mod standins;
mod type_parsing;
