//! Guards against addresses of dead instances in answers to callers.

use {
    reconcile::{InstanceRow, Membership},
    std::{net::SocketAddr, time::Duration},
};

fn row(id: &str) -> InstanceRow {
    InstanceRow {
        address: ([10, 0, 0, 1], 8_000).into(),
        domain: "a".into(),
        id: id.into(),
        relay_address: ([10, 0, 0, 1], 9_000).into(),
        start: "1".into(),
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Membership at 60 s that read rows of these ages in milliseconds.
fn membership(rows: &[(&str, u64)]) -> Membership {
    let mut membership = Membership::default();
    let rows = rows.iter().map(|(id, age_ms)| (row(id), at(*age_ms)));
    membership.observe(at(60_000), rows.collect());
    membership
}

fn ids(membership: &Membership, ms: u64) -> Vec<String> {
    let live = membership.live(at(ms));
    live.iter()
        .map(|instance| instance.id.to_string())
        .collect()
}

#[test]
fn instance_whose_row_is_old_is_dead_at_the_first_sight() {
    let membership = membership(&[("x", 100), ("y", 20_000)]);
    assert_eq!(ids(&membership, 60_000), ["x"]);
    assert_eq!(ids(&membership, 64_000), Vec::<String>::new());
}

#[test]
fn instance_that_left_is_gone_at_once() {
    let mut membership = membership(&[("x", 0), ("y", 0)]);
    membership.observe(at(61_000), vec![(row("y"), at(0))]);
    assert_eq!(ids(&membership, 61_000), ["y"]);
    membership.left("y");
    assert_eq!(ids(&membership, 61_000), Vec::<String>::new());
}

/// Instances that start together without a leader ask the first ones, which must not ask back.
#[test]
fn first_instances_ask_only_those_before_them() {
    let membership = membership(&[("a", 60_000), ("b", 0), ("c", 0), ("d", 0), ("e", 0)]);
    let count = |id| membership.first_before(at(60_000), &row(id)).len();
    assert_eq!(["b", "c", "d", "e"].map(count), [0, 1, 2, 2]);
}

/// Stand-ins of one failure domain would be lost together.
#[test]
fn stand_ins_are_of_different_domains() {
    let mut membership = Membership::default();
    let mut rows = Vec::new();
    for (index, domain) in ["a", "a", "b", "b", "c"].into_iter().enumerate() {
        let id = format!("{domain}{index}");
        rows.push((
            InstanceRow {
                domain: domain.into(),
                relay_address: ([10, 0, 0, 1], 9_000 + index as u16).into(),
                ..row(&id)
            },
            at(0),
        ));
    }
    let own = rows[0].0.clone();
    membership.observe(at(60_000), rows);
    let ports = |membership: &Membership, ms| -> Vec<u16> {
        let stand_ins = membership.stand_ins(at(ms), &own);
        stand_ins.iter().map(SocketAddr::port).collect()
    };
    assert_eq!(ports(&membership, 60_000), [9_002, 9_004, 9_001]);
    assert!(
        ports(&membership, 70_000).is_empty(),
        "dead ones stand in for nobody"
    );
}

/// Instances that the leader serves do not renew their rows, so others must not take them as dead.
#[test]
fn instances_that_the_leader_names_live_on() {
    let mut membership = membership(&[("x", 0), ("y", 0)]);
    for second in 61..70 {
        let ages = vec![
            (row("x"), at(second * 1_000 - 60_000)),
            (row("y"), at(9_000)),
        ];
        membership.observe(at(second * 1_000), ages);
        membership.confirmed(at(second * 1_000), &["x".into()]);
    }
    assert_eq!(ids(&membership, 69_000), ["x"]);
}

/// Seen on fartuch-druk trouble-3: the list of a dead leader, and then the leader's own list, kept
/// dead instances in the answers to callers for as long as it was read.
#[test]
fn list_of_a_dead_leader_does_not_keep_instances_alive() {
    let mut membership = membership(&[("x", 9_000)]);
    for second in 60..70 {
        membership.observe(
            at(second * 1_000),
            vec![(row("x"), at(second * 1_000 - 51_000))],
        );
        membership.confirmed(at(58_000), &["x".into()]);
    }
    assert_eq!(ids(&membership, 61_500), ["x"]);
    assert_eq!(ids(&membership, 61_600), Vec::<String>::new());
}

#[test]
fn instance_that_calls_lives() {
    let mut membership = Membership::default();
    membership.contacted(at(60_000), row("x"));
    assert_eq!(ids(&membership, 60_000), ["x"]);
    assert!(membership.relay_address("1").is_some());
    membership.observe(at(61_000), vec![(row("x"), at(30_000))]);
    assert_eq!(
        ids(&membership, 61_000),
        ["x"],
        "an old row does not undo a call"
    );
    assert_eq!(ids(&membership, 64_000), Vec::<String>::new());
}

#[test]
fn restarted_instance_is_another_one() {
    let mut membership = membership(&[("x", 0)]);
    let again = InstanceRow {
        start: "2".into(),
        ..row("x")
    };
    membership.observe(at(61_000), vec![(again, at(0))]);
    assert!(membership.relay_address("1").is_none());
    assert!(membership.relay_address("2").is_some());
}
