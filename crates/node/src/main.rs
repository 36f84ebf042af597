//! The router process.

fn main() {}
