//! Integration tests, one file a feature.

mod agent_kill;
mod bad_callers;
mod document;
mod entry_kill;
mod freeze_wake;
mod graceful_drain;
mod half_cut_link;
mod history;
mod lease;
mod membership;
mod operators;
mod platform_outage;
mod promotion;
mod relay;
mod rollout;
mod sample;
mod standins;
mod store;
mod type_parsing;
mod util;
