//! Property tests of requests, routing and queueing against simple models, with fixed seeds.

mod node_simulation;
mod router_fixtures;

use {
    control::{
        Admission, AdmissionSettings, Command, Event, NoRoute, QueuedRequest, Resource,
        RouteSettings, Router, RoutingView, Target,
    },
    node_simulation::{
        Simulation,
        builder::{call, generate},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    router_fixtures::{engine, identity, query},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{FailureKind, OperationKind},
};

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Number of final answers that the caller of a request received.
fn final_answer_count(world: &Simulation, request: &str) -> usize {
    let answered = world.log.iter().filter(|(_, _, command)| match command {
        Command::AnswerCall { request: id, .. } | Command::Refuse { request: id, .. } => {
            &**id == request
        }
        _ => false,
    });
    let is_generate = request.starts_with('g');
    let completed = world
        .completed
        .iter()
        .filter(|(id, _)| is_generate && &**id == request);
    answered.count() + completed.count()
}

fn fail_attempt(world: &mut Simulation, kind: usize, pick: usize) {
    let work = world.work.remove(pick % world.work.len());
    let target = work.route[pick % work.route.len()].clone();
    let kinds = [
        FailureKind::Refused,
        FailureKind::Unreachable,
        FailureKind::Silent,
        FailureKind::Broken,
    ];
    let kind = kinds[kind + pick % 2];
    world.fail(&work, &target, kind, pick as u32 % 40);
}

fn perform(world: &mut Simulation, index: usize, action: u8, pick: usize) {
    let node = pick % world.nodes.len();
    match action {
        0..=2 => {
            let submission = generate(["a", "b"][pick % 2], &format!("g{index}"));
            world.send(node, Event::GenerateSubmitted(submission));
        }
        3 => {
            let submission = call("a", &format!("c{index}"), OperationKind::Idempotent);
            world.send(node, Event::CallSubmitted(submission));
        }
        4 => {
            let submission = call("b", &format!("k{index}"), OperationKind::NonRepeatable);
            world.send(node, Event::CallSubmitted(submission));
        }
        5..=7 if !world.work.is_empty() => fail_attempt(world, usize::from(action) - 5, pick),
        8 if !world.work.is_empty() => {
            let work = world.work[pick % world.work.len()].clone();
            let event = Event::Progressed {
                delivered_tokens: pick as u32 % 50,
                request: work.request,
            };
            world.send(work.node, event);
        }
        9 if world.dead.len() < 3 => {
            let victim = world.models.keys().nth(pick % world.models.len()).cloned();
            world.kill(&victim.expect("the world has engines"));
        }
        10 if pick.is_multiple_of(4) => {
            let work = world.work.first().cloned();
            if let Some(work) = work {
                let request = work.request.clone();
                world.disconnected.insert(request.clone());
                world.send(work.node, Event::CallerGone { request });
            }
        }
        11 if pick.is_multiple_of(8) => {
            world.send(1, Event::DrainStarted);
        }
        _ => world.run(100),
    }
}

/// Guards against requests with no final answer or with several, events that the state chart does
/// not list, and slots or demand that are never released.
#[test]
fn every_request_gets_one_final_answer() {
    let steps = prop::collection::vec((0_u8..12, 0_usize..1_000), 10..80);
    let result = runner(48).run(&steps, |steps| {
        let mut world = Simulation::new(2, 4, 2);
        for (index, (action, pick)) in steps.iter().enumerate() {
            perform(&mut world, index, *action, *pick);
        }
        world.run(75_000);
        for (index, (action, _)) in steps.iter().enumerate() {
            let kind = match action {
                0..=2 => 'g',
                3 => 'c',
                4 => 'k',
                _ => continue,
            };
            let request = format!("{kind}{index}");
            if world.disconnected.contains(&*request) {
                continue;
            }
            prop_assert_eq!(
                final_answer_count(&world, &request),
                1,
                "final answers of {}",
                request
            );
        }
        prop_assert!(world.work.is_empty(), "still at targets: {:?}", world.work);
        for node in &world.nodes {
            prop_assert_eq!(node.unexpected_count(), 0);
        }
        let heartbeat = world
            .log
            .iter()
            .rev()
            .find_map(|(_, _, command)| match command {
                Command::SendHeartbeat { heartbeat, .. } => Some(heartbeat),
                _ => None,
            });
        prop_assert!(heartbeat.is_some_and(|heartbeat| heartbeat.demands.is_empty()));
        Ok(())
    });
    result.unwrap();
}

/// Whether a chain from layer `from` to the end exists over targets with fewer than `limit`
/// requests, by exhaustive search.
fn has_chain(targets: &[Target], from: u32, limit: u32) -> bool {
    from == 6
        || targets.iter().any(|target| {
            let layers = target.report.models[0].layers;
            let has_capacity = target.report.running_count < limit;
            layers.start == from && has_capacity && has_chain(targets, layers.end, limit)
        })
}

/// Guards against routes that are missed or incomplete, use full targets although free ones form a
/// route, or exceed the queue of a target. Compares with an exhaustive search.
#[test]
fn routes_match_an_exhaustive_search_of_chains() {
    let layer_ranges = prop::collection::vec((0_u32..6, 1_u32..5, 0_u8..3, 0_u32..16), 1..14);
    let result = runner(512).run(&layer_ranges, |layer_ranges| {
        let mut targets = Vec::new();
        for (index, (start, length, domain, running)) in layer_ranges.into_iter().enumerate() {
            targets.push(engine(
                index,
                start,
                (start + length).min(6),
                domain,
                running,
            ));
        }
        let target_refs: Vec<&Target> = targets.iter().collect();
        let identity = identity();
        let view = RoutingView {
            sharing_factor: 1.0,
            identity: &identity,
            now: Duration::ZERO,
            targets: &target_refs,
        };
        let resource = Resource::Model("m".into());
        let avoided = BTreeSet::new();
        let query = query(&resource, &avoided, &[]);
        let router = Router::new(RouteSettings::default(), &AdmissionSettings::default());
        match router.choose(&view, &query, &mut ChaCha8Rng::seed_from_u64(1)) {
            Ok(choice) => {
                prop_assert!(choice.route.is_complete());
                let limit = if has_chain(&targets, 0, 8) { 8 } else { 12 };
                for stage in &choice.route.stages {
                    let target = targets.iter().find(|target| target.id == stage.target);
                    prop_assert!(target.is_some_and(|target| target.report.running_count < limit));
                }
            }
            Err(blocked) => {
                prop_assert!(!has_chain(&targets, 0, 12));
                prop_assert_eq!(blocked == NoRoute::Full, has_chain(&targets, 0, u32::MAX));
            }
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against unfair deficit round robin: between accounts with a backlog, the served cost per
/// weight may differ by no more than two largest requests and one round.
#[test]
fn deficit_round_robin_is_fair_to_backlogged_accounts() {
    let costs = prop::collection::vec((0_usize..3, 1.0_f64..500.0), 60..200);
    let result = runner(128).run(&costs, |costs| {
        let mut admission = Admission::new(AdmissionSettings::default());
        let resource = Resource::Model("m".into());
        let mut queued_counts: BTreeMap<String, usize> = BTreeMap::new();
        for (index, (account, cost)) in costs.iter().enumerate() {
            let name = format!("a{account}");
            *queued_counts.entry(name.clone()).or_default() += 1;
            let waiting = QueuedRequest {
                account: name.into(),
                cost: *cost,
                is_short: true,
                request: format!("{index}").into(),
                queued_at: Duration::ZERO,
                weight: (account + 1) as f64,
            };
            admission.push(&resource, waiting);
        }
        let mut served: BTreeMap<String, f64> = BTreeMap::new();
        let mut count = 0;
        while let Some(waiting) = admission.pop_next(&resource, Duration::ZERO, &mut |_| true) {
            count += 1;
            let name = waiting.account.to_string();
            *served.entry(name.clone()).or_default() += waiting.cost / waiting.weight;
            *queued_counts.entry(name).or_default() -= 1;
            if queued_counts.values().any(|queued| *queued == 0) {
                continue;
            }
            let most = served.values().copied().fold(0.0, f64::max);
            let least = queued_counts
                .keys()
                .map(|name| served.get(name).copied().unwrap_or(0.0));
            let spread = most - least.fold(f64::MAX, f64::min);
            prop_assert!(spread <= 500.0 + 64.0 + 500.0, "{served:?}");
        }
        prop_assert_eq!(count, costs.len());
        Ok(())
    });
    result.unwrap();
}
