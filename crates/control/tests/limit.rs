//! Test of the division of concurrency limits among instances.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::ConcurrencyLimits,
    std::time::{Duration, SystemTime},
    support::{heartbeat, identity, ms},
};

/// Guards against ranks that differ between builds, so that two instances of different builds both
/// use the remainder of a limit. The order of turns is fixed, and exactly one instance has each
/// turn.
#[test]
fn turns_are_the_same_in_every_build() {
    let names = ["a", "b", "c"];
    let mut order = String::new();
    for turn in 0..12 {
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(2 * turn);
        for own in names {
            let mut limits = ConcurrencyLimits::default();
            for peer in names.iter().filter(|peer| **peer != own) {
                limits.heartbeat_received(ms(0), &heartbeat(peer));
            }
            if limits.may_start(ms(0), wall, &identity(own, 1), &"shop".into(), 1) {
                order.push_str(own);
            }
        }
    }
    assert_eq!(order, "babbbcbccccc");
}
