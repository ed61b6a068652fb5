//! The router and its stand-ins in one process on loopback.

fn main() {}
