//! Guards against addresses of dead instances in answers to callers.

use {
    reconcile::{InstanceRow, Membership},
    std::time::Duration,
};

fn row(id: &str, beat_count: u64) -> InstanceRow {
    InstanceRow {
        address: ([10, 0, 0, 1], 8_000).into(),
        beat_count,
        domain: "a".into(),
        id: id.into(),
        relay_address: ([10, 0, 0, 1], 9_000).into(),
        start: "1".into(),
    }
}

fn ids(membership: &Membership, ms: u64) -> Vec<String> {
    let live = membership.live(Duration::from_millis(ms));
    live.iter()
        .map(|instance| instance.id.to_string())
        .collect()
}

#[test]
fn instance_whose_row_stands_still_is_dead() {
    let mut membership = Membership::default();
    for beat in 0..10 {
        let now = Duration::from_millis(beat * 1_000);
        membership.observe(now, vec![row("x", beat), row("y", beat.min(3))]);
    }
    assert_eq!(ids(&membership, 9_000), ["x"]);
}

#[test]
fn instance_that_is_back_is_listed_at_once() {
    let mut membership = Membership::default();
    membership.observe(Duration::ZERO, vec![row("x", 1)]);
    assert_eq!(ids(&membership, 60_000), Vec::<String>::new());
    membership.observe(Duration::from_secs(60), vec![row("x", 2)]);
    assert_eq!(ids(&membership, 60_000), ["x"]);
}

#[test]
fn instance_that_left_is_gone_at_once() {
    let mut membership = Membership::default();
    membership.observe(Duration::ZERO, vec![row("x", 1), row("y", 1)]);
    membership.observe(Duration::from_secs(1), vec![row("y", 2)]);
    assert_eq!(ids(&membership, 1_000), ["y"]);
}

/// Instances that the leader serves write no beats, so others must not take them as dead.
#[test]
fn instances_that_the_leader_names_live_on() {
    let mut membership = Membership::default();
    membership.observe(Duration::ZERO, vec![row("x", 1), row("y", 1)]);
    for second in 1..10 {
        let now = Duration::from_secs(second);
        membership.observe(now, vec![row("x", 1), row("y", 1)]);
        membership.vouched(now, &["x".into()], second);
    }
    assert_eq!(ids(&membership, 9_000), ["x"]);
    // A leader's row that stands still says nothing new.
    membership.vouched(Duration::from_secs(60), &["x".into()], 9);
    assert_eq!(ids(&membership, 60_000), Vec::<String>::new());
}

#[test]
fn instance_that_calls_lives_and_one_that_says_goodbye_does_not() {
    let mut membership = Membership::default();
    membership.contacted(Duration::from_secs(60), row("x", 1));
    assert_eq!(ids(&membership, 60_000), ["x"]);
    assert!(membership.relay_address("1").is_some());
    membership.left("x");
    assert_eq!(ids(&membership, 60_000), Vec::<String>::new());
}

#[test]
fn row_that_stands_still_does_not_revive_an_instance_that_stopped_calling() {
    let mut membership = Membership::default();
    membership.observe(Duration::ZERO, vec![row("x", 7)]);
    membership.contacted(Duration::from_secs(5), row("x", 0));
    membership.observe(Duration::from_secs(6), vec![row("x", 7)]);
    assert_eq!(ids(&membership, 9_000), Vec::<String>::new());
}
