//! Guards against paths that skip a layer, run one twice, or use targets that must not be used.
#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected result"
)]

mod support;

use {
    catalog::EngineProfile,
    fleet::{Demand, Fleet, LoadTable, NoPath, Outcome, Path, SharedLoad, Target, TargetKey},
    proptest::{prelude::*, test_runner::RngSeed},
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
    support::{LAYER_COUNT, demand, engine, fleet, profile, rng},
};

const NOW: Duration = Duration::from_secs(100);

fn path(fleet: &fleet::Fleet, demand: &fleet::Demand) -> Result<Path, NoPath> {
    fleet.choose_path(NOW, "model", &profile(), demand, &"a".into(), &mut rng())
}

fn ids(path: &Path) -> Vec<&str> {
    path.stages.iter().map(|stage| &*stage.id).collect()
}

fn key(path: &Path, id: &str) -> TargetKey {
    path.stages
        .iter()
        .find(|stage| &*stage.id == id)
        .unwrap()
        .key
}

fn assert_complete(path: &Path) {
    let mut next = 0;
    let mut used = BTreeSet::new();
    for stage in &path.stages {
        let range = stage.range.unwrap();
        assert_eq!(
            range.start, next,
            "layers are skipped or repeated: {path:?}"
        );
        assert!(used.insert(stage.key), "a target occurs twice: {path:?}");
        next = range.end;
    }
    assert_eq!(next, LAYER_COUNT, "layers are missing: {path:?}");
}

#[test]
fn path_stays_in_the_failure_domain_of_the_instance() {
    let fleet = fleet(&[
        engine("a1", "a", 0, 4),
        engine("a2", "a", 4, 8),
        engine("b1", "b", 0, 4),
        engine("b2", "b", 4, 8),
    ]);
    assert_eq!(ids(&path(&fleet, &demand()).unwrap()), ["a1", "a2"]);
}

#[test]
fn overlapping_ranges_form_one_path() {
    let fleet = fleet(&[engine("a1", "a", 0, 5), engine("a2", "a", 3, 8)]);
    let path = path(&fleet, &demand()).unwrap();
    assert_complete(&path);
    assert_eq!(ids(&path), ["a1", "a2"]);
}

#[test]
fn other_domain_serves_layers_that_are_missing_here() {
    let fleet = fleet(&[
        engine("a1", "a", 0, 4),
        engine("b1", "b", 0, 4),
        engine("b2", "b", 4, 8),
    ]);
    assert_complete(&path(&fleet, &demand()).unwrap());
}

#[test]
fn missing_layer_and_missing_room_give_different_errors() {
    let incomplete = fleet(&[engine("a1", "a", 0, 4)]);
    assert_eq!(path(&incomplete, &demand()), Err(NoPath::Incomplete));
    assert_eq!(path(&fleet(&[]), &demand()), Err(NoPath::NoTarget));
    let huge = fleet::Demand {
        prompt_tokens: 1e9,
        ..demand()
    };
    let whole = fleet(&[engine("a1", "a", 0, 8)]);
    assert_eq!(path(&whole, &huge), Err(NoPath::Full));
}

#[test]
fn requests_reserve_and_release_memory() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    // 200 MB hold 25,000 tokens in all layers. Nine tenths are used: 37 requests of 600 tokens.
    let mut begun = Vec::new();
    while let Ok(path) = path(&fleet, &demand()) {
        fleet.add_request(NOW, &path);
        begun.push(path);
        assert!(begun.len() < 100, "the engine never becomes full");
    }
    assert_eq!(begun.len(), 37);
    for path in &begun {
        fleet.remove_request(path);
    }
    assert!(path(&fleet, &demand()).is_ok());
}

#[test]
fn leaving_excluded_and_failed_engines_get_no_requests() {
    let spare = engine("a2", "a", 0, 8);
    let leaving = Target {
        is_leaving: true,
        ..engine("a1", "a", 0, 8)
    };
    assert_eq!(
        ids(&path(&fleet(&[leaving, spare]), &demand()).unwrap()),
        ["a2"]
    );

    let mut fleet = fleet(&[engine("a1", "a", 0, 8), engine("b1", "b", 0, 8)]);
    let local = path(&fleet, &demand()).unwrap();
    assert_eq!(ids(&local), ["a1"]);
    let excluding = fleet::Demand {
        excluded: vec![key(&local, "a1")],
        ..demand()
    };
    assert_eq!(ids(&path(&fleet, &excluding).unwrap()), ["b1"]);
    assert!(fleet.record_outcome(NOW, key(&local, "a1"), Outcome::Failed));
    assert_eq!(ids(&path(&fleet, &demand()).unwrap()), ["b1"]);
}

#[test]
fn slow_engine_loses_to_one_in_another_domain() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8), engine("b1", "b", 0, 8)]);
    let local = path(&fleet, &demand()).unwrap();
    let held = local.first().range;
    assert!(fleet.record_state(NOW, local.first().key, held, 12.0));
    assert_eq!(ids(&path(&fleet, &demand()).unwrap()), ["b1"]);
    assert!(fleet.record_state(NOW, local.first().key, held, 1.0));
    assert_eq!(ids(&path(&fleet, &demand()).unwrap()), ["a1"]);
}

#[test]
fn moved_request_keeps_its_first_stage() {
    let fleet = fleet(&[
        engine("a1", "a", 0, 4),
        engine("a2", "a", 4, 8),
        engine("b1", "b", 0, 4),
        engine("b2", "b", 4, 8),
    ]);
    let old = path(&fleet, &demand()).unwrap();
    let moved = fleet::Demand {
        excluded: vec![key(&old, "a2")],
        pinned_first: Some(old.first().clone()),
        ..demand()
    };
    let new = path(&fleet, &moved).unwrap();
    assert_complete(&new);
    assert_eq!(ids(&new), ["a1", "b2"]);
}

#[test]
fn stage_without_its_layers_needs_replacement() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    let path = path(&fleet, &demand()).unwrap();
    assert!(!fleet.needs_replacement(NOW, path.first()));
    fleet.record_state(NOW, path.first().key, None, 1.0);
    assert!(
        fleet.needs_replacement(NOW, path.first()),
        "it restarted and holds no layers"
    );
}

#[test]
fn activity_makes_probes_unnecessary() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 4), engine("a2", "a", 4, 8)]);
    let path = path(&fleet, &demand()).unwrap();
    assert_eq!(fleet.inactive_stages(&path, NOW).len(), 2);
    fleet.record_activity(NOW, &path);
    // Activity at `since` itself does not count as activity after it.
    assert_eq!(fleet.inactive_stages(&path, NOW).len(), 2);
    fleet.record_activity(NOW + Duration::from_millis(1), &path);
    assert_eq!(fleet.inactive_stages(&path, NOW).len(), 0);
}

/// Minimum number of stages of a path from layer `position`, found by exhaustive search; none if there is
/// no path.
fn min_stage_count(targets: &[Target], position: u32, used: &mut Vec<usize>) -> Option<usize> {
    if position == LAYER_COUNT {
        return Some(0);
    }
    let mut best = None;
    for (index, target) in targets.iter().enumerate() {
        let range = target.held.unwrap();
        if used.contains(&index) || !range.contains(position) {
            continue;
        }
        used.push(index);
        for end in position + 1..=range.end {
            if let Some(rest) = min_stage_count(targets, end, used) {
                best = Some(best.unwrap_or(usize::MAX).min(rest + 1));
            }
        }
        used.pop();
    }
    best
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// A path is found exactly when an exhaustive search finds one, and it is valid.
    #[test]
    fn path_agrees_with_an_exhaustive_search(
        ranges in proptest::collection::vec((0..LAYER_COUNT, 1..=LAYER_COUNT, 0..3_usize), 1..6),
    ) {
        let domains = ["a", "b", "c"];
        let mut targets = Vec::new();
        for (index, (start, count, domain)) in ranges.iter().enumerate() {
            let end = (start + count).min(LAYER_COUNT);
            targets.push(engine(&format!("e{index}"), domains[*domain], *start, end));
        }
        let found = path(&fleet(&targets), &demand());
        let hops = min_stage_count(&targets, 0, &mut Vec::new());
        prop_assert_eq!(found.is_ok(), hops.is_some());
        if let Ok(path) = found {
            assert_complete(&path);
            prop_assert!(path.stages.len() >= hops.unwrap());
        }
    }
}

#[test]
fn large_fleet_gets_valid_paths_under_random_load() {
    let mut rng = rng();
    let mut targets = Vec::new();
    for index in 0..60 {
        let start = rng.random_range(0..LAYER_COUNT);
        let end = rng.random_range(start..LAYER_COUNT) + 1;
        let domain = ["a", "b", "c"][rng.random_range(0..3)];
        targets.push(engine(&format!("e{index}"), domain, start, end));
    }
    let mut fleet = fleet(&targets);
    for _ in 0..200 {
        let Ok(path) =
            fleet.choose_path(NOW, "model", &profile(), &demand(), &"b".into(), &mut rng)
        else {
            break;
        };
        assert_complete(&path);
        fleet.add_request(NOW, &path);
    }
}

/// Guards against refusals after a burst at one instance: it assumed that all others had sent as much
/// and refused requests although the engines had capacity.
#[test]
fn burst_at_one_instance_does_not_make_an_engine_full() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    fleet.set_instance_count(8);
    let mut begun_count = 0;
    while let Ok(path) = path(&fleet, &demand()) {
        fleet.add_request(NOW, &path);
        begun_count += 1;
    }
    assert!(
        begun_count < 10,
        "without reports, the others are assumed to send as much"
    );
    fleet.set_peer_loads(NOW, &[]);
    assert!(path(&fleet, &demand()).is_ok());
    let others = SharedLoad {
        id: "a1".into(),
        in_flight_count: 30,
        silent_count: 0,
        slow_count: 0,
        slowness_sum: 0.0,
        token_layers: 30.0 * 600.0 * 8.0,
    };
    let mut loads = LoadTable::default();
    for instance in ["x", "y"] {
        loads.set(NOW, &instance.into(), vec![others.clone()]);
    }
    fleet.set_peer_loads(NOW, &loads.sum_excluding(NOW, &"z".into(), &[]));
    assert_eq!(path(&fleet, &demand()), Err(NoPath::Full));
}

/// Guards against urgent requests that find engines filled by less urgent ones in overload, so that all
/// ranks are refused alike.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    let less_urgent = Demand {
        keeps_urgent_reserve: true,
        ..demand()
    };
    let mut begun_count = 0;
    while let Ok(path) = path(&fleet, &less_urgent) {
        fleet.add_request(NOW, &path);
        begun_count += 1;
    }
    assert!(begun_count > 0);
    assert!(path(&fleet, &demand()).is_ok());
    assert_eq!(path(&fleet, &less_urgent), Err(NoPath::Full));
}

fn unreachable_elsewhere(id: &str) -> SharedLoad {
    SharedLoad {
        id: id.into(),
        in_flight_count: 0,
        silent_count: 1,
        slow_count: 0,
        slowness_sum: 0.0,
        token_layers: 0.0,
    }
}

fn probed(fleet: &Fleet) -> Vec<String> {
    let stages = fleet.engines_to_probe(NOW);
    let mut ids: Vec<String> = stages.iter().map(|stage| stage.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against 76 instances that each detect a dead engine by failures of their own requests, which
/// uses up their retry budgets.
#[test]
fn engine_unreachable_to_peers_is_probed_once_with_a_healthy_one() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8), engine("a2", "a", 0, 8)]);
    assert!(fleet.set_peer_loads(NOW, &[unreachable_elsewhere("a1")]));
    assert_eq!(probed(&fleet), ["a1", "a2"]);
    assert!(
        path(&fleet, &demand()).is_ok(),
        "a report of others alone does not exclude an engine"
    );
    let to_probe = fleet.engines_to_probe(NOW).remove(0);
    fleet.record_state(NOW, to_probe.key, to_probe.range, 1.0);
    assert_eq!(probed(&fleet), Vec::<String>::new());
    let later = NOW + Duration::from_secs(1);
    assert!(!fleet.set_peer_loads(later, &[unreachable_elsewhere("a1")]));
}

#[test]
fn recently_active_engine_is_not_probed() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    let path = path(&fleet, &demand()).unwrap();
    fleet.record_activity(NOW, &path);
    assert!(!fleet.set_peer_loads(NOW, &[unreachable_elsewhere("a1")]));
    assert_eq!(probed(&fleet), Vec::<String>::new());
}

/// Guards against a rush on the same engines: after a restart of all instances, each sent its first
/// requests to the same fast engines, which refused 270 of them within 100 ms.
#[test]
fn unreported_load_of_peers_is_estimated() {
    let targets = [engine("a1", "a", 0, 8), engine("a2", "a", 0, 8)];
    let mut fleet = fleet(&targets);
    fleet.set_instance_count(76);
    fleet.set_peer_loads(NOW, &[]);
    let first = path(&fleet, &demand()).unwrap();
    fleet.add_request(NOW, &first);
    let second = path(&fleet, &demand()).unwrap();
    assert_ne!(first.first().id, second.first().id);
    fleet.add_request(NOW, &second);
    assert!(
        path(&fleet, &demand()).is_ok(),
        "the estimate raises the cost but does not make an engine full"
    );
}

#[test]
fn engine_that_refused_gets_no_requests_for_a_moment() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8)]);
    let first = path(&fleet, &demand()).unwrap();
    fleet.record_outcome(NOW, first.first().key, Outcome::Full);
    assert_eq!(path(&fleet, &demand()), Err(NoPath::Full));
    let later = NOW + Duration::from_millis(150);
    let mut rng = rng();
    let again = fleet.choose_path(later, "model", &profile(), &demand(), &"a".into(), &mut rng);
    assert!(again.is_ok());
}

/// Guards against instances that each detect a slow engine by their own requests: eight of them took six
/// seconds to notice that an engine ran at a twelfth of its speed. Probing it from all of 63 instances
/// cost more than it gained, so the reports of others are used without a probe.
#[test]
fn engine_reported_slow_by_peers_is_avoided_without_a_probe() {
    let mut fleet = fleet(&[engine("a1", "a", 0, 8), engine("a2", "a", 0, 8)]);
    let slow = SharedLoad {
        silent_count: 0,
        slow_count: 2,
        slowness_sum: 24.0,
        ..unreachable_elsewhere("a1")
    };
    assert!(!fleet.set_peer_loads(NOW, &[slow]));
    assert_eq!(probed(&fleet), Vec::<String>::new());
    for _ in 0..5 {
        assert_eq!(ids(&path(&fleet, &demand()).unwrap()), ["a2"]);
    }
    assert!(
        fleet.own_loads().is_empty(),
        "slowness reported by others is reported as an own observation"
    );
    fleet.set_peer_loads(NOW, &[]);
    let a2 = path(&fleet, &demand()).unwrap();
    let other = Demand {
        excluded: a2.keys().collect(),
        ..demand()
    };
    let back = path(&fleet, &other).unwrap();
    assert!(
        back.cost_ms < a2.cost_ms * 2.0,
        "the engine counts as slow after the reports ended"
    );
}

/// Guards against paths over links that are too narrow for the prompt. They were chosen when all others
/// were full, and the requests were retried elsewhere before the prompt had arrived.
#[test]
fn path_over_links_that_are_too_slow_is_refused() {
    let fleet = fleet(&[engine("a1", "a", 0, 4), engine("b1", "b", 4, 8)]);
    let narrow = EngineProfile {
        pipe_mbps: 100.0,
        ..profile()
    };
    let choose = |first_event_limit_ms| {
        let demand = Demand {
            first_event_limit_ms,
            ..demand()
        };
        fleet.choose_path(NOW, "model", &narrow, &demand, &"a".into(), &mut rng())
    };
    let path = choose(None).unwrap();
    // 600 tokens of 160,000 bits each take 0.96 s at 100 Mbit/s.
    assert!(path.first_event_ms > 960.0, "{}", path.first_event_ms);
    assert_eq!(choose(Some(500.0)), Err(NoPath::Full));
    assert!(choose(Some(2_000.0)).is_ok());
}
