//! Expert placement policy.
