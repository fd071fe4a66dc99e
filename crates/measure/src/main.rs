//! Runs one experiment and prints its results.

fn main() {}
