//! Integration tests, one file a feature.

mod call_util;
mod choice;
mod claims;
mod document;
mod ejection;
mod fence;
mod history;
mod lease;
mod ledger;
mod membership;
mod operators;
mod outcomes;
mod placement;
mod placement_counts;
mod promotion;
mod queue;
mod rate_limits;
mod request_history;
mod request_random;
mod standins;
mod store;
mod subset_choice;
mod switch;
mod type_parsing;
mod versions;
