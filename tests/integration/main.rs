//! Integration tests, one file a feature.

mod document;
mod fence;
mod group_shell;
mod history;
mod lease;
mod membership;
mod operators;
mod placement;
mod placement_counts;
mod promotion;
mod rebalance;
mod standins;
mod store;
mod switch;
mod type_parsing;
