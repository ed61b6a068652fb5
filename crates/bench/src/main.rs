//! Measurements of the decision code in virtual time.

fn main() {}
