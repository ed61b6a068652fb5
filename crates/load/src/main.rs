//! Load program for a running deployment.

fn main() {}
