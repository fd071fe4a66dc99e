//! Integration tests, one file a feature.

mod document;
mod history;
mod lease;
mod membership;
mod operators;
mod promotion;
mod rate_limits;
mod placement;
mod placement_counts;
mod standins;
mod store;
mod subset_choice;
mod call_util;
mod claims;
mod ledger;
mod outcomes;
mod request_history;
mod request_random;
mod choice;
mod ejection;
mod queue;
mod type_parsing;
