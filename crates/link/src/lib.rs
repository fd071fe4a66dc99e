//! HTTP/1.1 connections to backend servers and to the platform.
//!
//! A [`Connection`] serves one request at a time. It never sends a request twice, and its errors
//! distinguish a request that was not sent from one that may have arrived.

mod body;
mod connection;
mod pool;
mod probe;

pub use body::BodyBudget;
pub use body::read_body;
pub use body::read_body_within;
pub use connection::CloseMode;
pub use connection::Connection;
pub use connection::ConnectionError;
pub use pool::ConnectionPool;
pub use probe::Reachability;
pub use probe::probe;
