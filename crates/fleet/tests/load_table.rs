//! Guards against loads that are counted twice or remain after their requests have ended.

use {
    fleet::{LoadTable, SharedLoad},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);

fn load(id: &str, in_flight_count: u32) -> SharedLoad {
    SharedLoad {
        id: id.into(),
        in_flight_count,
        silent_count: 0,
        slow_count: 0,
        slowness_sum: 0.0,
        token_layers: f64::from(in_flight_count) * 0.1,
    }
}

fn counts(table: &mut LoadTable, instance: &str, own: &[SharedLoad]) -> Vec<(String, u32)> {
    counts_at(NOW, table, instance, own)
}

fn counts_at(
    now: Duration,
    table: &mut LoadTable,
    instance: &str,
    own: &[SharedLoad],
) -> Vec<(String, u32)> {
    let loads = table.sum_excluding(now, &instance.into(), own);
    let counts = loads.iter();
    let mut counts: Vec<(String, u32)> = counts
        .map(|load| (load.id.to_string(), load.in_flight_count))
        .collect();
    counts.sort();
    counts
}

#[test]
fn sum_excludes_the_requesting_instance() {
    let mut table = LoadTable::default();
    table.set(NOW, &"x".into(), vec![load("t1", 3), load("t2", 1)]);
    table.set(NOW, &"y".into(), vec![load("t1", 4)]);
    let own = [load("t3", 5)];
    let expected = [("t1".to_owned(), 4), ("t3".to_owned(), 5)];
    assert_eq!(counts(&mut table, "x", &own), expected);
}

#[test]
fn newer_loads_replace_older_ones() {
    let mut table = LoadTable::default();
    for round in 0..1_000 {
        let loads = vec![load("t1", round % 7)];
        table.set(NOW, &"x".into(), loads);
    }
    assert_eq!(counts(&mut table, "y", &[]), [("t1".to_owned(), 999 % 7)]);
    table.set(NOW, &"x".into(), Vec::new());
    assert_eq!(table.sum_excluding(NOW, &"y".into(), &[]), []);
}

#[test]
fn unreachable_target_is_reported_once_and_cleared() {
    let silent = SharedLoad {
        silent_count: 1,
        slow_count: 0,
        slowness_sum: 0.0,
        ..load("t1", 0)
    };
    let mut table = LoadTable::default();
    assert!(table.set(NOW, &"x".into(), vec![silent.clone()]));
    assert!(
        !table.set(NOW, &"y".into(), vec![silent]),
        "already reported by another instance"
    );
    assert_eq!(
        table.sum_excluding(NOW, &"y".into(), &[])[0].silent_count,
        1
    );
    table.set(NOW, &"x".into(), Vec::new());
    table.set(NOW, &"y".into(), Vec::new());
    assert_eq!(table.sum_excluding(NOW, &"z".into(), &[]), []);
}

#[test]
fn loads_of_an_instance_that_stops_reporting_expire() {
    let mut table = LoadTable::default();
    table.set(NOW, &"x".into(), vec![load("t1", 3)]);
    table.set(NOW + Duration::from_secs(3), &"y".into(), Vec::new());
    assert_eq!(counts(&mut table, "z", &[]), []);
}

/// Guards against stale loads of a former leader. In the run `lcv-head-large`, a leader that had lost the
/// store kept reporting the loads of all relays that had queried it to its successor, to which the relays
/// reported them too. One request in ten was refused for lack of capacity.
#[test]
fn loads_of_instances_that_moved_to_another_leader_expire() {
    let mut table = LoadTable::default();
    table.set(NOW, &"x".into(), vec![load("t1", 3)]);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(counts_at(later, &mut table, "", &[]), Vec::new());
}
