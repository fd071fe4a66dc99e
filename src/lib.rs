//! The siskinbend load balancer as a library; `main.rs` only calls it.
