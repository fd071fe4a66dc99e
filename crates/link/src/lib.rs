//! HTTP/1.1 connections to backend servers and to the platform.
//!
//! A [`Link`] is one connection that serves one request at a time. It never sends a request twice
//! and tells apart what was certainly not sent from what may have arrived.

mod link;
mod pool;

pub use link::Close;
pub use link::Link;
pub use link::LinkError;
pub use link::read_body;
pub use pool::Pool;
