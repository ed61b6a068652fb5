//! Operator's command-line client.

fn main() {}
