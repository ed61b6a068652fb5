//! Guards against two leaders at the same time, and against having no leader.

mod support;

use {
    reconcile::{LeaderRow, Leadership, LeadershipSettings, LeaseStep, RelayTree, TreeVersion},
    std::time::Duration,
    support::row,
    yare::parameterized,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One versioned row, as the store keeps it.
#[derive(Default)]
struct Table {
    row: Option<(LeaderRow, u64)>,
    version: u64,
}

impl Table {
    fn write(&mut self, row: LeaderRow, expected_version: u64) -> Option<u64> {
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        if version != expected_version {
            return None;
        }
        self.version += 1;
        self.row = Some((row, self.version));
        Some(self.version)
    }
}

/// Instance with this start id.
fn instance(start: &str) -> Leadership {
    instance_at(start, start)
}

/// Instance with this start id, at the relay address derived from `address_id`.
fn instance_at(start: &str, address_id: &str) -> Leadership {
    let relay_address = row(address_id, "a", 500).relay_address;
    Leadership::new(start.into(), relay_address, LeadershipSettings::default())
}

/// Row of a leader at the relay address derived from `address_id`.
fn leader_row(holder: &str, fence: u64, address_id: &str) -> LeaderRow {
    let leader = row(address_id, "a", 500);
    let tree = RelayTree::build(&leader, &[], TreeVersion::default());
    LeaderRow {
        fence,
        holder: holder.into(),
        settled_era: 0,
        tree: Some(tree),
    }
}

fn run_round(now: Duration, table: &mut Table, leadership: &mut Leadership) {
    run_round_at(now, table, leadership, "a");
}

/// Runs one round of an instance at the relay address derived from `address_id`.
fn run_round_at(now: Duration, table: &mut Table, leadership: &mut Leadership, address_id: &str) {
    leadership.observe(now, table.row.clone(), Duration::ZERO);
    let LeaseStep::Write {
        expected_version,
        fence,
    } = leadership.step(now)
    else {
        return;
    };
    let row = leader_row(leadership.instance(), fence, address_id);
    if let Some(version) = table.write(row.clone(), expected_version) {
        leadership.record_write(now, row, version);
    }
}

#[test]
fn one_of_two_leads_and_keeps_leading() {
    let (mut table, mut one, mut other) = (Table::default(), instance("a"), instance("b"));
    for second in 1..20 {
        run_round(at(second * 1_000), &mut table, &mut one);
        run_round(at(second * 1_000 + 1), &mut table, &mut other);
        assert!(one.fence(at(second * 1_000 + 2)).is_some());
        assert!(other.fence(at(second * 1_000 + 2)).is_none());
    }
}

#[parameterized(killed = { false }, back_later = { true })]
fn another_takes_over_with_a_higher_fence(restarts: bool) {
    let (mut table, mut one, mut other) = (Table::default(), instance("a"), instance("b"));
    run_round(at(1_000), &mut table, &mut one);
    let first = one.fence(at(1_000)).unwrap();
    for ms in (1_500..6_000).step_by(500) {
        run_round(at(ms), &mut table, &mut other);
        let both = one.fence(at(ms)).is_some() && other.fence(at(ms)).is_some();
        assert!(!both, "two leaders at {ms} ms");
    }
    assert!(other.fence(at(5_500)).unwrap() > first);
    if restarts {
        run_round(at(6_000), &mut table, &mut one);
        assert_eq!(one.fence(at(6_000)), None);
    }
}

#[test]
fn leader_without_the_store_stops_sending_orders() {
    let (mut table, mut one) = (Table::default(), instance("a"));
    run_round(at(1_000), &mut table, &mut one);
    assert!(one.fence(at(3_400)).is_some());
    assert!(one.fence(at(3_500)).is_none());
}

/// After all instances were killed at once, the engines received no orders until the first new
/// instance had watched the row of the dead leader for a whole lease.
#[parameterized(
    long_dead = { 10_000, true },
    dead_for_the_lease = { 3_500, true },
    maybe_alive = { 3_400, false },
)]
fn row_already_expired_when_first_read_is_taken_over(age_ms: u64, leads: bool) {
    let (mut table, mut one) = (Table::default(), instance("a.1"));
    run_round(at(1_000), &mut table, &mut one);
    let mut restarted = instance("a.2");
    restarted.observe(at(60_000), table.row.clone(), at(age_ms));
    let is_write = matches!(restarted.step(at(60_000)), LeaseStep::Write { .. });
    assert_eq!(is_write, leads);
}

#[test]
fn refused_order_ends_leadership() {
    let (mut table, mut one) = (Table::default(), instance("a"));
    run_round(at(1_000), &mut table, &mut one);
    one.record_fenced();
    assert_eq!(one.fence(at(1_001)), None);
}

/// After all instances were killed at once, hundreds of them read the store until the lease of the
/// dead leader had expired. A process starts again only after the previous one has ended, so a
/// leadership that it held is free. A machine with the same name at another address may be a
/// different one.
#[parameterized(
    restarted = { "a.2", "a", Some(2) },
    same_name_elsewhere = { "a.2", "b", None },
    other_instance_there = { "b.2", "a", None },
    longer_name = { "a.1.2", "a", None },
)]
fn only_the_restarted_leader_does_not_wait_for_the_lease(
    start: &str,
    address_id: &str,
    fence: Option<u64>,
) {
    let (mut table, mut one) = (Table::default(), instance_at("a.1", "a"));
    run_round_at(at(1_000), &mut table, &mut one, "a");
    let mut restarted = instance_at(start, address_id);
    run_round_at(at(1_500), &mut table, &mut restarted, address_id);
    assert_eq!(restarted.fence(at(1_500)), fence);
}

/// 295 instances that started together wrote the leader's row at once, and each renewal was queued
/// behind these writes.
#[test]
fn slow_instance_delays_taking_a_free_leadership() {
    let settings = LeadershipSettings {
        takeover_delay: at(500),
        ..LeadershipSettings::default()
    };
    let mut slow = Leadership::new("s.1".into(), row("s", "a", 100).relay_address, settings);
    slow.observe(at(1_000), None, Duration::ZERO);
    assert_eq!(slow.step(at(1_499)), LeaseStep::Wait);
    let is_write = |step: LeaseStep| matches!(step, LeaseStep::Write { .. });
    assert!(is_write(slow.step(at(2_000))), "some instance must lead");
    slow.observe(
        at(2_000),
        Some((leader_row("b.1", 1, "b"), 1)),
        Duration::ZERO,
    );
    assert_eq!(slow.step(at(5_400)), LeaseStep::Wait);
    assert!(is_write(slow.step(at(6_000))));
}

/// A stand-in is ready to lead, and the instances that query it have no leader until it does.
#[test]
fn stand_in_takes_an_expired_leadership_without_delay() {
    let settings = LeadershipSettings {
        takeover_delay: at(500),
        ..LeadershipSettings::default()
    };
    let (leader, own) = (row("b", "b", 500), row("s", "a", 500));
    let tree = RelayTree::build(&leader, &[&own], TreeVersion::default());
    let leader_row = LeaderRow {
        fence: 1,
        holder: "b.1".into(),
        settled_era: 0,
        tree: Some(tree),
    };
    let mut stand_in = Leadership::new("s.1".into(), own.relay_address, settings);
    stand_in.observe(at(1_000), Some((leader_row, 1)), Duration::ZERO);
    assert_eq!(stand_in.step(at(3_999)), LeaseStep::Wait);
    assert!(matches!(stand_in.step(at(4_000)), LeaseStep::Write { .. }));
}

#[test]
fn released_leadership_is_taken_over_immediately() {
    let (mut table, mut one, mut other) = (Table::default(), instance("a"), instance("b"));
    run_round(at(1_000), &mut table, &mut one);
    run_round(at(1_100), &mut table, &mut other);
    let (row, version) = one.release().unwrap();
    assert!(table.write(row, version).is_some());
    assert_eq!(one.fence(at(1_200)), None);
    run_round(at(1_200), &mut table, &mut other);
    assert_eq!(other.fence(at(1_200)), Some(2));
}

/// The platform applies some writes without answering. If no orders are sent for a whole lease,
/// engines that start meanwhile stay empty.
#[test]
fn leader_starts_a_new_term_after_a_renewal_without_an_answer() {
    let (mut table, mut one) = (Table::default(), instance("a"));
    run_round(at(1_000), &mut table, &mut one);
    let LeaseStep::Write {
        expected_version,
        fence,
    } = one.step(at(2_000))
    else {
        panic!("the leader renews its row");
    };
    let row = leader_row("a", fence, "a");
    assert!(table.write(row.clone(), expected_version).is_some());
    // The leader has not received the new version.
    let LeaseStep::Write {
        expected_version, ..
    } = one.step(at(2_700))
    else {
        panic!("the leader renews its row");
    };
    assert_eq!(table.write(row, expected_version), None);
    one.record_conflict();
    run_round(at(3_000), &mut table, &mut one);
    assert_eq!(
        one.fence(at(3_001)),
        Some(2),
        "the new term has a new fence"
    );
}

#[test]
fn conflicting_write_ends_leadership() {
    let (mut table, mut one) = (Table::default(), instance("a"));
    run_round(at(1_000), &mut table, &mut one);
    one.record_conflict();
    assert_eq!(one.fence(at(1_001)), None);
}

/// Guards against two leaders with the same fence after the store was restored from a copy whose row is older than
/// the last leader's.
#[test]
fn fence_of_a_lost_row_is_not_used_again() {
    let (mut table, mut one) = (Table::default(), instance("a"));
    run_round(at(0), &mut table, &mut one);
    let copy = (table.row.clone(), table.version);
    // Another leader takes over after the copy.
    let mut other = instance("b");
    let mut used = vec![one.fence(at(0)).unwrap()];
    for second in 0..6 {
        run_round_at(at(second * 1_000), &mut table, &mut other, "b");
    }
    used.extend(other.fence(at(5_000)));
    (table.row, table.version) = copy;
    for (index, start) in ["c", "d", "e"].into_iter().enumerate() {
        let mut next = instance(start);
        next.record_era(1);
        let start_ms = 10_000 * (index as u64 + 1);
        for second in 0..6 {
            run_round_at(at(start_ms + second * 1_000), &mut table, &mut next, start);
        }
        used.extend(next.fence(at(start_ms + 5_000)));
    }
    assert_eq!(used.len(), 5);
    assert!(used.is_sorted_by(|one, other| one < other), "{used:?}");
}

/// Guards against a fence that is used twice because a leader of the time before the restoration overwrites the row
/// of the new one: its expected version was given out again.
#[test]
fn fence_is_new_after_an_old_leader_overwrote_the_row() {
    let (mut table, mut old) = (Table::default(), instance("a"));
    run_round(at(0), &mut table, &mut old);
    let (row, version) = table.row.clone().unwrap();
    let mut new = instance("b");
    new.record_era(1);
    new.observe(at(0), Some((row.clone(), version)), Duration::ZERO);
    for second in 1..6 {
        run_round_at(at(second * 1_000), &mut table, &mut new, "b");
    }
    let before = new.fence(at(5_000)).unwrap();
    // The old leader renews its row as if it had not been lost.
    table.version += 1;
    table.row = Some((row, table.version));
    old.record_conflict();
    old.record_era(1);
    run_round(at(6_000), &mut table, &mut old);
    let after = old.fence(at(6_000)).unwrap();
    assert!(after > before, "{after} after {before}");
}
