//! Single rules of the policy.

mod engines;

use {
    control::{
        Admission, AdmissionSettings, Quarantine, QuarantineSettings, Resource, RouteSettings,
        Router, Target, View, Waiting,
    },
    engines::{engine, identity, query},
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{CacheEvent, LayerRange, Route, Stage, TargetId},
};

const START: Duration = Duration::from_secs(100);

/// Counts how often each target is the first stage in 100 decisions at `now`.
fn firsts(
    router: &Router,
    targets: &[Target],
    prefix_hashes: &[u64],
    now: Duration,
) -> BTreeMap<TargetId, usize> {
    let refs: Vec<&Target> = targets.iter().collect();
    let identity = identity();
    let view = View {
        factor: 1.0,
        identity: &identity,
        now,
        targets: &refs,
    };
    let resource = Resource::Model("m".into());
    let avoided = BTreeSet::new();
    let query = query(&resource, &avoided, prefix_hashes);
    let mut counts = BTreeMap::new();
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let choice = router
            .choose(&view, &query, &mut random)
            .expect("a place is free");
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

/// Guards against instances that decide at once and all pick the one target that looks best.
#[test]
fn the_best_of_several_good_targets_does_not_draw_all() {
    let counts = firsts(&router(), &engines(&[0, 1, 1, 1, 1, 1]), &[], START);
    let idle = counts[&TargetId::from("e0")];
    assert!((20..50).contains(&idle), "{counts:?}");
}

/// Guards against affinity that is missing, outlives its evidence, or overrides load.
#[test]
fn affinity_follows_fresh_events_and_yields_to_load() {
    let mut router = router();
    let event = |position, present| CacheEvent {
        position,
        prefix_hash: 5,
        present,
    };
    let hit = TargetId::from("e1");
    router
        .caches
        .events_received(START, &hit, &[event(1, true)], 100);
    let idle = engines(&[0; 6]);
    assert_eq!(firsts(&router, &idle, &[5], START)[&hit], 100);
    let later = START + Duration::from_secs(120);
    assert!(firsts(&router, &idle, &[5], later)[&hit] < 50);
    let busy = engines(&[0, 7, 0, 0, 0, 0]);
    // As the worst of six good targets it is drawn once in 36 decisions; an even part is 17.
    let counts = firsts(&router, &busy, &[5], START);
    assert!(
        counts.get(&hit).copied().unwrap_or_default() <= 6,
        "{counts:?}"
    );
    for position in [10, 20, 30, 40, 50] {
        let other = CacheEvent {
            prefix_hash: 6,
            ..event(position, true)
        };
        router.caches.events_received(START, &hit, &[other], 100);
    }
    assert!(
        firsts(&router, &idle, &[5], START)[&hit] < 50,
        "gaps are ignored"
    );
}

/// Guards against a degraded link that keeps its traffic, and one that is never tried again.
#[test]
fn degraded_links_are_avoided_until_the_observation_fades() {
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
        firsts(&router, &targets, &[], START)[&TargetId::from("e1")],
        100
    );
    let later = START + Duration::from_secs(300);
    let counts = firsts(&router, &targets, &[], later);
    assert!(counts[&TargetId::from("e0")] > 20, "{counts:?}");
}

/// Guards against short work queued behind long work of its account, and long work that waits
/// without bound.
#[test]
fn short_work_goes_first_until_long_work_has_waited() {
    let resource = Resource::Model("m".into());
    let waiting = |request: &str, is_short, since| Waiting {
        account: "a".into(),
        cost: 10.0,
        is_short,
        request: request.into(),
        since: Duration::from_secs(since),
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
        let next = admission.next(&resource, now, &mut |_| true).unwrap();
        order.push(next.request.to_string());
    }
    assert_eq!(order, ["short1", "short2", "long", "short3"]);
}

/// Guards against a quarantine entry that is lost with the instance that saw the crashes, that
/// never ends because instances repeat it to each other, or that blocks a cleared bystander.
#[test]
fn quarantine_passes_on_and_ends() {
    let new = || Quarantine::new(QuarantineSettings::default());
    let (mut first, mut second, mut third) = (new(), new(), new());
    first.crashed(START, 1, &"e0".into(), 1, false);
    first.crashed(START, 2, &"e0".into(), 1, false);
    second.heartbeat_received(START, &"first".into(), &first.reports(START));
    assert!(second.is_suspect(START, 2) && second.blocked_for(START, 1).is_none());
    first.crashed(START, 1, &"e0".into(), 2, true);
    first.clear(2);
    let mut now = START;
    for _ in 0..1_198 {
        let sent = now;
        now += Duration::from_millis(500);
        second.heartbeat_received(now, &"first".into(), &first.reports(sent));
        first.heartbeat_received(now, &"second".into(), &second.reports(sent));
    }
    third.heartbeat_received(now, &"second".into(), &second.reports(now));
    assert!(third.blocked_for(now, 1).is_some() && !third.is_suspect(now, 2));
    now += Duration::from_secs(3);
    for quarantine in [&mut first, &mut second, &mut third] {
        quarantine.tick(now);
        assert!(quarantine.blocked_for(now, 1).is_none());
    }
}

/// Guards against a frequent request that is refused everywhere because its copies were running
/// on several targets of a lost failure domain, at one instance or at two.
#[test]
fn targets_lost_together_do_not_quarantine_a_frequent_request() {
    let new = || Quarantine::new(QuarantineSettings::default());
    let (mut first, mut second) = (new(), new());
    first.crashed(START, 1, &"e0".into(), 1, false);
    first.crashed(START, 1, &"e1".into(), 1, false);
    second.crashed(START, 1, &"e2".into(), 1, false);
    second.heartbeat_received(START, &"first".into(), &first.reports(START));
    assert!(first.blocked_for(START, 1).is_none() && second.blocked_for(START, 1).is_none());
    second.crashed(START, 1, &"e3".into(), 1, true);
    second.crashed(START, 1, &"e4".into(), 1, false);
    assert!(
        second.blocked_for(START, 1).is_some(),
        "a late report lifts the refusal"
    );
}
