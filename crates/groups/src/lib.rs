//! Expert map switch and fencing of engine orders.
