//! Platform traits, HTTP clients and in-memory fakes.

pub mod api;
pub mod breaker;
pub mod client;
pub mod counters;
pub mod documents;
pub mod fake;
pub mod http;
pub mod limits;
pub mod memory;
pub mod retry;

pub use api::ObjectStore;
pub use api::Table;
pub use api::Vm;
pub use api::VmList;
pub use api::VmState;
pub use client::Client;
pub use siskinbend_control::table::Cause;
pub use siskinbend_control::table::Check;
pub use siskinbend_control::table::Commit;
pub use siskinbend_control::table::CommitAnswer;
pub use siskinbend_control::table::Key;
pub use siskinbend_control::table::Revision;
pub use siskinbend_control::table::Row;
pub use siskinbend_control::table::StoreError;
pub use siskinbend_control::table::TransactionId;
pub use siskinbend_control::table::Write;
pub use siskinbend_control::table::WriteStatus;
pub use siskinbend_control::table::classify_write;
