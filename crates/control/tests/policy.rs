//! Rules of routing and queueing, one test each.

mod router_fixtures;

use {
    control::{
        Admission, AdmissionSettings, QueuedRequest, Resource, RouteSettings, Router, RoutingView,
        Target,
    },
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    router_fixtures::{engine, identity, query},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{CacheEvent, LayerRange, Route, Stage, TargetId},
};

const START: Duration = Duration::from_secs(100);

/// Number of times that each target is the first stage, over 100 decisions at `now`.
fn first_stage_counts(
    router: &Router,
    targets: &[Target],
    prefix_hashes: &[u64],
    now: Duration,
) -> BTreeMap<TargetId, usize> {
    let target_refs: Vec<&Target> = targets.iter().collect();
    let identity = identity();
    let view = RoutingView {
        sharing_factor: 1.0,
        identity: &identity,
        now,
        targets: &target_refs,
    };
    let resource = Resource::Model("m".into());
    let avoided = BTreeSet::new();
    let query = query(&resource, &avoided, prefix_hashes);
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let choice = router
            .choose(&view, &query, &mut random)
            .expect("a route with free slots exists");
        *counts
            .entry(choice.route.stages[0].target.clone())
            .or_default() += 1;
    }
    counts
}

fn router() -> Router {
    Router::new(RouteSettings::default(), &AdmissionSettings::default())
}

fn engines(running: &[u32]) -> Vec<Target> {
    let mut targets = Vec::new();
    for (index, running) in running.iter().enumerate() {
        targets.push(engine(index, 0, 6, 0, *running));
    }
    targets
}

/// Guards against instances that decide at the same time, from the same reports, and all pick the
/// best target.
#[test]
fn best_target_does_not_get_all_requests() {
    let counts = first_stage_counts(&router(), &engines(&[0, 1, 1, 1, 1, 1]), &[], START);
    let idle = counts[&TargetId::from("e0")];
    assert!((20..50).contains(&idle), "{counts:?}");
}

/// Guards against prefix affinity that is missing, persists after its cache events have aged or
/// were followed by gaps, or overrides load.
#[test]
fn cache_affinity_follows_recent_events_and_yields_to_load() {
    let mut router = router();
    let event = |position, present| CacheEvent {
        position,
        prefix_hash: 5,
        present,
    };
    let cached = TargetId::from("e1");
    router
        .caches
        .events_received(START, &cached, &[event(1, true)], 100);
    let idle = engines(&[0; 6]);
    assert_eq!(
        first_stage_counts(&router, &idle, &[5], START)[&cached],
        100
    );
    let later = START + Duration::from_secs(120);
    assert!(first_stage_counts(&router, &idle, &[5], later)[&cached] < 50);
    let busy = engines(&[0, 7, 0, 0, 0, 0]);
    // As the worst of six near-best targets it is expected in 1 of 36 draws, about 3 of 100. An
    // even share would be 17.
    let counts = first_stage_counts(&router, &busy, &[5], START);
    assert!(
        counts.get(&cached).copied().unwrap_or_default() <= 6,
        "{counts:?}"
    );
    for position in [10, 20, 30, 40, 50] {
        let other = CacheEvent {
            prefix_hash: 6,
            ..event(position, true)
        };
        router.caches.events_received(START, &cached, &[other], 100);
    }
    assert!(
        first_stage_counts(&router, &idle, &[5], START)[&cached] < 50,
        "gaps in the cache events are ignored"
    );
}

/// Guards against a slow link that keeps its traffic, and against one that is never tried again.
#[test]
fn slow_links_are_avoided_until_the_observation_decays() {
    let mut router = router();
    let targets = vec![
        engine(0, 0, 3, 0, 0),
        engine(1, 0, 3, 0, 0),
        engine(2, 3, 6, 0, 0),
    ];
    let stage = |target: &Target| Stage {
        address: target.address,
        layers: LayerRange::default(),
        target: target.id.clone(),
    };
    let route = Route {
        layer_count: 6,
        stages: vec![stage(&targets[0]), stage(&targets[2])],
    };
    for _ in 0..5 {
        router.links.observe(START, &route, 500.0);
    }
    assert_eq!(
        first_stage_counts(&router, &targets, &[], START)[&TargetId::from("e1")],
        100
    );
    let later = START + Duration::from_secs(300);
    let counts = first_stage_counts(&router, &targets, &[], later);
    assert!(counts[&TargetId::from("e0")] > 20, "{counts:?}");
}

/// Guards against short requests that queue behind long ones of their account, and against long
/// requests that wait without bound.
#[test]
fn short_requests_precede_long_ones_until_the_longest_wait() {
    let resource = Resource::Model("m".into());
    let waiting = |request: &str, is_short, since| QueuedRequest {
        account: "a".into(),
        cost: 10.0,
        is_short,
        request: request.into(),
        queued_at: Duration::from_secs(since),
        weight: 1.0,
    };
    let mut admission = Admission::new(AdmissionSettings::default());
    admission.push(&resource, waiting("long", false, 0));
    for index in 1..4 {
        admission.push(&resource, waiting(&format!("short{index}"), true, index));
    }
    let mut order = Vec::new();
    for second in [1, 2, 5, 5] {
        let now = Duration::from_secs(second);
        let next = admission.pop_next(&resource, now, &mut |_| true).unwrap();
        order.push(next.request.to_string());
    }
    assert_eq!(order, ["short1", "short2", "long", "short3"]);
}
