//! The test bench.

fn main() {}
