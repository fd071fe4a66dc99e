//! Document versions, promotion, leases and membership.

pub mod table;
