//! Document versions, promotion, leases and membership.

pub mod lease;
pub mod limits;
pub mod membership;
pub mod promotion;
pub mod table;
pub mod version;
