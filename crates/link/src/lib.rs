//! HTTP/1.1 connections to backend servers and to the platform.
//!
//! A [`Connection`] is one connection that serves one request at a time. It never sends a request twice
//! and tells apart what was certainly not sent from what may have arrived.

mod connection;
mod pool;

pub use connection::CloseMode;
pub use connection::Connection;
pub use connection::ConnectionError;
pub use connection::read_body;
pub use pool::ConnectionPool;
