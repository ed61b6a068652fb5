//! Guards against a choice of busy or failed targets, for services without a model, while better ones are
//! available.

mod support;

use {
    fleet::{Demand, Fleet, Load, NoPath, Outcome, Target},
    std::{collections::BTreeMap, time::Duration},
    support::{fleet, rng, target},
};

const NOW: Duration = Duration::from_secs(100);

fn chosen(fleet: &Fleet, demand: &Demand) -> Result<String, NoPath> {
    let path = fleet.choose_target(NOW, "booking", demand, &mut rng())?;
    Ok(path.first().id.to_string())
}

fn three_targets() -> Fleet {
    fleet(&["x", "y", "z"].map(|id| target(id, "booking")))
}

#[test]
fn requests_spread_over_equal_targets() {
    let mut fleet = three_targets();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..30 {
        let path = fleet.choose_target(NOW, "booking", &Demand::default(), &mut rng());
        let path = path.unwrap();
        *counts.entry(path.first().id.to_string()).or_default() += 1;
        fleet.add_request(NOW, &path);
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

#[test]
fn reported_load_of_other_instances_counts() {
    let mut fleet = three_targets();
    let path = fleet.choose_target(NOW, "booking", &Demand::default(), &mut rng());
    let busy = path.unwrap().first().clone();
    let load = Load {
        running_count: 6,
        slot_count: 6,
        waiting_count: 20,
    };
    fleet.record_load(NOW, busy.key, load);
    assert_ne!(chosen(&fleet, &Demand::default()).unwrap(), &*busy.id);
}

#[test]
fn failed_target_is_the_last_resort() {
    let mut fleet = fleet(&[target("x", "booking")]);
    let path = fleet
        .choose_target(NOW, "booking", &Demand::default(), &mut rng())
        .unwrap();
    fleet.record_outcome(NOW, path.first().key, Outcome::Failed);
    assert_eq!(chosen(&fleet, &Demand::default()).unwrap(), "x");
    let excluding = Demand {
        excluded: vec![path.first().key],
        ..Demand::default()
    };
    assert_eq!(chosen(&fleet, &excluding), Err(NoPath::NoTarget));
}

#[test]
fn concurrent_failures_count_once() {
    let mut fleet = three_targets();
    let path = fleet
        .choose_target(NOW, "booking", &Demand::default(), &mut rng())
        .unwrap();
    let key = path.first().key;
    assert!(fleet.record_outcome(NOW, key, Outcome::Failed));
    for _ in 0..10 {
        assert!(!fleet.record_outcome(NOW, key, Outcome::Failed));
    }
    // The first avoidance lasts half a second; after it, the target is used again.
    let stage = path.first();
    assert!(!fleet.needs_replacement(NOW + Duration::from_millis(500), stage));
}

#[test]
fn targets_of_other_services_and_leaving_ones_are_not_used() {
    let leaving = Target {
        is_leaving: true,
        ..target("x", "booking")
    };
    let fleet = fleet(&[leaving, target("y", "model")]);
    assert_eq!(chosen(&fleet, &Demand::default()), Err(NoPath::NoTarget));
}

#[test]
fn observations_survive_a_new_listing() {
    let mut fleet = three_targets();
    let path = fleet
        .choose_target(NOW, "booking", &Demand::default(), &mut rng())
        .unwrap();
    fleet.add_request(NOW, &path);
    fleet.record_outcome(NOW, path.first().key, Outcome::Failed);
    fleet.set_targets(NOW, &["x", "y", "z"].map(|id| target(id, "booking")));
    assert!(fleet.needs_replacement(NOW, path.first()));
    fleet.set_targets(NOW, &[]);
    assert!(fleet.needs_replacement(NOW + Duration::from_secs(60), path.first()));
    fleet.remove_request(&path);
}

/// Guards against requests to a target that accepts connections but does not answer: without this rule,
/// all requests went to such an engine again when its first avoidance ended.
#[test]
fn unreachable_target_is_avoided_until_it_answers() {
    let mut fleet = three_targets();
    let path = fleet
        .choose_target(NOW, "booking", &Demand::default(), &mut rng())
        .unwrap();
    let key = path.first().key;
    assert!(fleet.record_outcome(NOW, key, Outcome::Unreachable));
    let later = NOW + Duration::from_secs(3_600);
    assert!(fleet.needs_replacement(later, path.first()));
    fleet.record_state(later, key, None, 1.0);
    assert!(!fleet.needs_replacement(later, path.first()));
}
