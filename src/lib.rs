//! Library of the siskinbend load balancer, which `main.rs` runs.

pub mod admin;
pub mod agent;
pub mod clock;
pub mod command;
pub mod document;
pub mod document_sync;
pub mod entry;
pub mod exchange;
pub mod gateway;
pub mod keys;
pub mod limits;
mod listener;
pub mod log_writer;
pub mod logs;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod rank_agent;
pub mod runtime;
pub mod settings;
pub mod shutdown;
pub mod sync;
pub mod vms;
