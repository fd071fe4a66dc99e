//! Stand-ins for the platform and the backend servers, and test callers.

pub mod call;
pub mod client;
pub mod counters;
pub mod engine;
pub mod group;
pub mod keys;
pub mod load;
pub mod plain;
pub mod platform;
pub mod runs;
pub mod server;
pub mod site;
pub mod switches;
