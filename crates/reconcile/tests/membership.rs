//! Guards against returning addresses of dead instances to callers.

mod support;

use {
    forward::Instance,
    reconcile::{InstanceRow, MemberReport, Membership},
    std::time::Duration,
    support::row,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(id: &str, age_ms: u64) -> MemberReport {
    MemberReport {
        age: at(age_ms),
        is_leaving: false,
        row: row(id, "a", 500),
    }
}

/// Membership at 60 s after reports with these ids and ages in milliseconds.
fn membership(reports: &[(&str, u64)]) -> Membership {
    let mut membership = Membership::default();
    let reports = reports.iter().map(|(id, age_ms)| report(id, *age_ms));
    membership.apply_reports(at(60_000), reports.collect());
    membership
}

fn instances(ids: &[&str]) -> Vec<Instance> {
    let rows = ids.iter().map(|id| row(id, "a", 500).instance());
    rows.collect()
}

/// Entries of a received list whose instances were last active at `ms`.
fn listed(ids: &[&str], ms: u64) -> Vec<(Instance, Duration)> {
    let instances = instances(ids).into_iter();
    instances.map(|instance| (instance, at(ms))).collect()
}

fn ids(membership: &Membership, ms: u64) -> Vec<String> {
    let live = membership.live(at(ms));
    live.iter()
        .map(|instance| instance.id.to_string())
        .collect()
}

#[test]
fn instance_with_an_expired_report_is_not_live() {
    let membership = membership(&[("x", 100), ("y", 20_000)]);
    assert_eq!(ids(&membership, 60_000), ["x"]);
    assert_eq!(ids(&membership, 64_000), Vec::<String>::new());
}

/// A relay that was queried earlier still reports an instance as live that has announced its
/// departure to another one.
#[test]
fn departed_instance_is_removed_immediately_and_permanently() {
    let mut membership = membership(&[("x", 0), ("y", 0)]);
    membership.merge_listed(listed(&["x", "y"], 60_000));
    membership.record_departure(at(60_500), &row("y", "a", 500));
    assert_eq!(ids(&membership, 60_500), ["x"]);
    membership.apply_reports(at(61_000), vec![report("y", 600)]);
    membership.merge_listed(listed(&["x", "y"], 61_000));
    assert_eq!(ids(&membership, 61_000), ["x"]);
    let reports = membership.reports(at(61_000));
    let leaving = reports.iter().find(|report| report.is_leaving);
    assert_eq!(leaving.map(|report| &*report.row.id), Some("y"));
}

/// A restarted instance returns under the same instance id after its previous start has left.
#[test]
fn departed_instance_returns_with_its_next_start() {
    let mut membership = membership(&[("x", 0)]);
    membership.record_departure(at(60_500), &row("x", "a", 500));
    let restarted = InstanceRow {
        start: "x.2".into(),
        ..row("x", "a", 500)
    };
    membership.record_contact(at(61_000), restarted);
    assert_eq!(ids(&membership, 61_000), ["x"]);
    membership.record_departure(at(61_100), &row("x", "a", 500));
    assert_eq!(ids(&membership, 61_100), ["x"]);
}

/// Instances behind a relay do not query the leader, which must not consider them dead.
#[test]
fn instances_reported_by_a_relay_stay_live() {
    let mut membership = Membership::default();
    for second in 60..70 {
        membership.apply_reports(
            at(second * 1_000),
            vec![report("x", 400), report("y", 9_000)],
        );
    }
    assert_eq!(ids(&membership, 69_900), ["x"]);
}

/// The list of a dead leader, and then the new leader's own list based on it, kept dead instances
/// in the answers to callers as long as the list was read.
#[test]
fn list_of_a_dead_leader_does_not_keep_instances_alive() {
    let mut membership = Membership::default();
    for _ in 60..70 {
        membership.merge_listed(listed(&["x"], 58_000));
    }
    assert_eq!(ids(&membership, 61_500), ["x"]);
    assert_eq!(ids(&membership, 61_600), Vec::<String>::new());
}

/// Instances of an earlier version do not tell when the instances that they list were active.
#[test]
fn list_of_an_earlier_version_is_used_only_while_it_is_received() {
    let mut membership = Membership::default();
    for ms in (60_000..65_000).step_by(500) {
        membership.replace_undated_list(instances(&["x", "y"]), at(ms));
        assert_eq!(ids(&membership, ms + 500), ["x", "y"]);
    }
    assert_eq!(ids(&membership, 66_100), Vec::<String>::new());
    membership.replace_undated_list(instances(&["x", "y"]), at(67_000));
    membership.replace_undated_list(instances(&["x"]), at(67_500));
    assert_eq!(ids(&membership, 67_500), ["x"], "y has left or is lost");
}

/// An instance that had been queried by another one kept it listed after it had announced its departure elsewhere.
#[test]
fn departure_that_another_instance_knows_ends_the_entry() {
    let mut membership = membership(&[("x", 0), ("y", 0)]);
    membership.merge_listed(listed(&["x", "y"], 60_000));
    let mut other = Membership::default();
    other.record_departure(at(60_100), &row("y", "a", 500));
    let departures = other.recent_departures(at(60_200));
    membership.merge_departures(at(60_200), &departures);
    assert_eq!(ids(&membership, 60_200), ["x"]);
    membership.merge_listed(listed(&["x", "y"], 60_300));
    assert_eq!(ids(&membership, 60_300), ["x"], "a sign of another path");
    membership.merge_listed(listed(&["y"], 62_000));
    assert_eq!(ids(&membership, 62_000), ["x", "y"], "the next start");
}

/// A new leader has no reports at first. Its answers to callers must still contain more than
/// itself.
#[test]
fn list_of_the_former_leader_is_used_until_instances_query_the_new_one() {
    let mut membership = Membership::default();
    membership.merge_listed(listed(&["x", "y"], 60_000));
    membership.merge_listed(listed(&["z"], 50_000));
    membership.record_contact(at(61_000), row("z", "a", 500));
    assert_eq!(ids(&membership, 61_000), ["x", "y", "z"]);
    assert_eq!(ids(&membership, 64_000), ["z"]);
}

#[test]
fn instance_that_queries_is_live() {
    let mut membership = Membership::default();
    membership.record_contact(at(60_000), row("x", "a", 500));
    assert_eq!(ids(&membership, 60_000), ["x"]);
    membership.apply_reports(at(61_000), vec![report("x", 30_000)]);
    assert_eq!(
        ids(&membership, 61_000),
        ["x"],
        "an outdated report does not override a direct contact"
    );
    assert_eq!(ids(&membership, 64_000), Vec::<String>::new());
}

#[test]
fn restarted_instance_replaces_its_previous_start() {
    let mut membership = membership(&[("x", 0)]);
    let restarted = InstanceRow {
        start: "x.2".into(),
        ..row("x", "a", 500)
    };
    membership.record_contact(at(61_000), restarted);
    // A relay that has not been notified of the restart yet.
    membership.apply_reports(at(61_100), vec![report("x", 900)]);
    let starts: Vec<&str> = membership
        .live_rows(at(61_100))
        .iter()
        .map(|row| &*row.start)
        .collect();
    assert_eq!(starts, ["x.2"]);
}

/// A departure that is reported late must not end the signs of the next start, which are newer.
#[test]
fn departure_counts_from_its_time_and_not_from_that_of_the_report() {
    let mut membership = Membership::default();
    membership.merge_listed(listed(&["x"], 63_000));
    let departure = MemberReport {
        is_leaving: true,
        ..report("x", 3_000)
    };
    membership.apply_reports(at(63_200), vec![departure]);
    assert_eq!(ids(&membership, 63_200), ["x"]);
}

/// Instances of an earlier version passed the list of a lost one on as new, so that a lost instance stayed listed by
/// several of them in turn.
#[test]
fn list_of_an_earlier_version_does_not_renew_an_instance_that_does_not_answer() {
    let mut membership = Membership::default();
    let lost: std::sync::Arc<str> = "y".into();
    for ms in (60_000..64_000).step_by(400) {
        membership.replace_undated_list(instances(&["x", "y"]), at(ms));
        for silent in membership.silent(at(ms + 10)) {
            if silent.id == lost {
                membership.record_unanswered(at(ms + 10), &lost);
            } else {
                membership.merge_listed([(silent, at(ms + 10))]);
            }
        }
    }
    assert_eq!(ids(&membership, 64_000), ["x"]);
    membership.merge_listed(listed(&["y"], 64_000));
    membership.replace_undated_list(instances(&["x", "y"]), at(66_000));
    assert_eq!(ids(&membership, 66_500), ["x", "y"], "y is back");
}
