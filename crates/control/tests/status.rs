//! Failures of the count of instances that use a version of the operator lists.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{Event, Node, NodeSettings},
    std::time::SystemTime,
    support::{heartbeat, identity, ms, peer_listing},
};

fn counts(node: &Node) -> Option<(u32, u32)> {
    let status = node.status(ms(100));
    Some((status.in_force_count?, status.instance_count?))
}

/// Guards against the report "in force on 1 of 1" at an instance that just started, and against
/// counts without instances that are listed but send no heartbeats, or send heartbeats but are not
/// listed.
#[test]
fn every_instance_that_may_admit_work_counts() {
    let identity = identity("a", 1);
    let mut node = Node::new(NodeSettings::default(), identity, SystemTime::UNIX_EPOCH);
    assert_eq!(counts(&node), None);
    node.handle(ms(50), Event::HeartbeatReceived(heartbeat("d")));
    assert_eq!(counts(&node), None);
    let listings = ["a", "b", "c"].map(peer_listing).into();
    node.handle(ms(60), Event::ListingRead { listings });
    assert_eq!(counts(&node), Some((1, 4)));
    node.handle(ms(70), Event::HeartbeatReceived(heartbeat("b")));
    assert_eq!(counts(&node), Some((2, 4)));
    let mut leaving = heartbeat("c");
    leaving.leaving = true;
    node.handle(ms(80), Event::HeartbeatReceived(leaving));
    assert_eq!(counts(&node), Some((2, 3)));
}
