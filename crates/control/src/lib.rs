//! Document versions, promotion, leases and membership.
