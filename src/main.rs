//! Entry point of the `siskinbend` binary.

fn main() {}
