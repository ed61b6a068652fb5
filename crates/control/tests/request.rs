//! Requests through one or several nodes with simulated targets: routes, retries, crashes, drain.

mod node_simulation;

use {
    control::{Command, Event},
    node_simulation::{
        Simulation,
        builder::{call, generate},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{CallOutcome, FailureKind, GenerateSubmission, OperationKind, RefusalKind},
};

/// Guards against routes that lack a stage, and decisions without a complete log line.
#[test]
fn routes_are_complete_chains_and_logged() {
    let mut simulation = Simulation::new(1, 3, 4);
    simulation.submit(0, generate("a", "r"));
    assert_eq!(simulation.routes("r")[0].len(), 4);
    let mut decisions = simulation
        .log
        .iter()
        .filter_map(|(_, _, command)| match command {
            Command::Log(decision) if decision.kind == "route" => Some(decision),
            _ => None,
        });
    let decision = decisions.next().unwrap();
    assert_eq!(decision.chosen.len(), 4);
    assert_eq!(decision.alternatives.len(), 8);
}

/// Guards against streams that are lost, or retried in the failed failure domain, when a stage
/// crashes while the retry budget is empty.
#[test]
fn streams_resume_in_another_domain_after_a_stage_crash() {
    let mut simulation = Simulation::new(1, 3, 2);
    for index in 0..8 {
        let id = format!("r{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(2));
        simulation.submit(0, generate("a", &id));
    }
    let crashed = simulation.work[0].route[1].clone();
    let broken: Vec<_> = simulation
        .work
        .iter()
        .filter(|work| work.route[1] == crashed)
        .map(|work| work.request.clone())
        .collect();
    simulation.kill(&crashed);
    simulation.run(40_000);
    for request in &broken {
        assert!(
            simulation.refusals(request).is_empty(),
            "{request} was refused"
        );
        let routes = simulation.routes(request);
        assert_eq!(routes.len(), 2, "{request}: {routes:?}");
        assert!(!routes[1].contains(&crashed));
        let domain = &crashed[..3];
        let is_elsewhere = routes[1].iter().all(|target| !target.starts_with(domain));
        assert!(is_elsewhere, "{request}: {routes:?}");
    }
    assert_eq!(simulation.completed.len(), 8);
}

/// Guards against retries that amplify an overload: every target refuses, and the retry budget must
/// limit the number of attempts.
#[test]
fn retries_under_overload_stay_within_the_budget() {
    let mut simulation = Simulation::new(1, 2, 1);
    simulation.slots = 100;
    simulation.run(1_500);
    let mut attempts = 0;
    for index in 0..60 {
        let id = format!("r{index}");
        simulation.send(
            0,
            Event::CallSubmitted(call("a", &id, OperationKind::Idempotent)),
        );
    }
    for _ in 0..60 {
        for work in std::mem::take(&mut simulation.work) {
            attempts += 1;
            let target = work.route[0].clone();
            simulation.fail(&work, &target, FailureKind::Refused, 0);
        }
        simulation.run(50);
    }
    assert!(
        (60..=72 + 3).contains(&attempts),
        "{attempts} attempts for 60 calls"
    );
}

/// Guards against a retry of a non-repeatable call that may have run, and a missing retry of one
/// that has certainly not run.
#[test]
fn non_repeatable_calls_are_retried_only_if_not_run() {
    let mut simulation = Simulation::new(1, 3, 1);
    simulation.send(
        0,
        Event::CallSubmitted(call("a", "k1", OperationKind::NonRepeatable)),
    );
    let work = simulation.work.remove(0);
    let target = work.route[0].clone();
    simulation.fail(&work, &target, FailureKind::Unreachable, 0);
    assert_eq!(simulation.routes("k1").len(), 2);
    assert_ne!(simulation.routes("k1")[1][0], target);
    let work = simulation.work.remove(0);
    let target = work.route[0].clone();
    simulation.fail(&work, &target, FailureKind::Broken, 0);
    simulation.run(2_000);
    assert_eq!(
        simulation.routes("k1").len(),
        2,
        "dispatched again after it may have run"
    );
}

/// Guards against one request that crashes target after target, at this instance or another one,
/// and against the refusal of requests that merely shared a crashed target.
#[test]
fn crashing_request_takes_down_two_targets_and_others_complete() {
    let mut simulation = Simulation::new(2, 6, 1);
    for index in 0..12 {
        let id = format!("r{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(1));
        simulation.submit(index % 2, generate("b", &id));
    }
    simulation
        .crashing_requests
        .extend(["bad".into(), "again".into()]);
    simulation.submit(0, generate("a", "bad"));
    assert_eq!(simulation.dead.len(), 2);
    let (_, refusal) = &simulation.refusals("bad")[0];
    assert_eq!(refusal.kind, RefusalKind::Quarantined);
    simulation.run(1_000);
    let resent = GenerateSubmission {
        fingerprint: generate("a", "bad").fingerprint,
        ..generate("a", "again")
    };
    simulation.submit(1, resent);
    let (at, refusal) = &simulation.refusals("again")[0];
    assert_eq!(
        (*at, refusal.kind),
        (simulation.now, RefusalKind::Quarantined)
    );
    assert!(refusal.retry_after > Duration::from_secs(590));
    simulation.run(15_000);
    assert_eq!(simulation.dead.len(), 2);
    for index in 0..12 {
        let id = format!("r{index}");
        assert!(
            simulation.completed_at(&id).is_some(),
            "{id} did not complete"
        );
        assert!(simulation.refusals(&id).is_empty());
    }
}

/// Guards against copies of a crashing request that are all dispatched before the first crash is
/// known. Each instance loses at most two targets to one fingerprint, and none once the crashes
/// are known to all instances.
#[test]
fn copies_of_a_crashing_request_take_down_two_targets_per_instance() {
    for node_count in [1, 4] {
        let mut simulation = Simulation::new(node_count, 24, 1);
        let copy = |id: &str| GenerateSubmission {
            fingerprint: 1,
            ..generate("a", id)
        };
        let mut ids = Vec::new();
        for index in 0..10 * node_count {
            let id = format!("copy{index}");
            simulation.submit(index % node_count, copy(&id));
            ids.push(id);
        }
        // Each copy crashes its target within 10 ms of its start.
        for _ in 0..500 {
            simulation.run(10);
            let running = simulation.work.iter().map(|work| work.route[0].clone());
            for target in running.collect::<BTreeSet<_>>() {
                simulation.kill(&target);
            }
        }
        let lost = simulation.dead.len();
        assert!(lost >= 2 && lost <= 2 * node_count, "{lost} targets lost");
        for id in &ids {
            let refusals = simulation.refusals(id);
            assert_eq!(refusals.len(), 1, "{id}");
            assert_eq!(refusals[0].1.kind, RefusalKind::Quarantined, "{id}");
        }
        for node in 0..node_count {
            let id = format!("late{node}");
            simulation.submit(node, copy(&id));
            assert_eq!(simulation.refusals(&id).len(), 1, "{id}");
        }
        assert_eq!(simulation.dead.len(), lost);
    }
}

/// Guards against copies of a harmless request that wait for each other forever.
#[test]
fn copies_of_a_harmless_request_run_together_after_the_first() {
    let mut simulation = Simulation::new(1, 2, 1);
    for index in 0..10 {
        let submission = GenerateSubmission {
            fingerprint: 1,
            ..generate("a", &format!("copy{index}"))
        };
        simulation.submit(0, submission);
    }
    assert_eq!(simulation.work.len(), 1);
    simulation.run(400);
    assert_eq!(simulation.completed.len(), 10);
}

/// Guards against suspect requests that are retried on the same target, where the one that crashes
/// it would make the others fail again.
#[test]
fn suspect_requests_retry_on_separate_targets() {
    let mut simulation = Simulation::new(1, 4, 1);
    for index in 0..16 {
        let id = format!("r{index}");
        simulation
            .durations
            .insert(id.as_str().into(), Duration::from_secs(1));
        simulation.submit(0, generate("a", &id));
    }
    let crashed = simulation.work[0].route[0].clone();
    let suspects: Vec<_> = simulation
        .work
        .iter()
        .filter(|work| work.route[0] == crashed)
        .cloned()
        .collect();
    assert!(suspects.len() >= 3);
    simulation.kill(&crashed);
    for _ in 0..500 {
        let mut taken = BTreeMap::new();
        for work in &simulation.work {
            let is_suspect = suspects
                .iter()
                .any(|suspect| suspect.request == work.request);
            if is_suspect {
                assert_eq!(taken.insert(work.route[0].clone(), &work.request), None);
            }
        }
        simulation.run(10);
    }
    assert_eq!(simulation.completed.len(), 16);
}

/// Guards against attempts that continue after their caller has disconnected.
#[test]
fn disconnect_cancels_the_attempt() {
    let mut simulation = Simulation::new(1, 1, 2);
    simulation.submit(0, generate("a", "r"));
    let commands = simulation.send(
        0,
        Event::CallerGone {
            request: "r".into(),
        },
    );
    assert!(matches!(commands[0], Command::Cancel { attempt: 1, .. }));
    assert!(simulation.work.is_empty());
}

/// Guards against a drain that aborts running requests, accepts new ones, or stops the process
/// while callers may still use its address.
#[test]
fn drain_completes_requests_before_stop() {
    let stops = |simulation: &Simulation| {
        let stop = |entry: &&(usize, Duration, Command)| entry.2 == Command::Stop;
        simulation.log.iter().filter(stop).count()
    };
    let mut simulation = Simulation::new(2, 2, 1);
    simulation
        .durations
        .insert("r".into(), Duration::from_secs(9));
    simulation.submit(0, generate("a", "r"));
    simulation.send(0, Event::DrainStarted);
    assert!(
        simulation.nodes[0]
            .addresses(simulation.now, None, None)
            .addresses
            .iter()
            .all(|entry| &*entry.instance == "n1")
    );
    simulation.submit(0, generate("a", "new"));
    assert_eq!(simulation.refusals("new")[0].1.kind, RefusalKind::Draining);
    simulation.run(8_500);
    assert_eq!(stops(&simulation), 0);
    simulation.run(1_000);
    assert_eq!((stops(&simulation), simulation.completed.len()), (1, 1));

    simulation.send(1, Event::DrainStarted);
    simulation.run(6_900);
    assert_eq!(stops(&simulation), 1);
    simulation.run(200);
    assert_eq!(stops(&simulation), 2);
}

/// Guards against long answers that keep the first priority, or whose priority falls below the
/// floor or stays there when they stall.
#[test]
fn priority_falls_with_answer_length_to_a_floor() {
    let mut simulation = Simulation::new(1, 1, 1);
    simulation
        .durations
        .insert("r".into(), Duration::from_secs(60));
    simulation.submit(0, generate("a", "r"));
    let mut last = 9;
    for delivered_tokens in [1, 100, 200, 500, 4_000, 100_000] {
        simulation.run(500);
        let event = Event::Progressed {
            delivered_tokens,
            request: "r".into(),
        };
        for command in simulation.send(0, event) {
            if let Command::SetPriority { priority, .. } = command {
                assert!(priority < last);
                last = priority;
            }
        }
    }
    assert_eq!(last, 3);
    simulation.run(6_000);
    let stalled = simulation
        .log
        .iter()
        .rev()
        .find_map(|(_, _, command)| match command {
            Command::SetPriority { priority, .. } => Some(*priority),
            _ => None,
        });
    assert_eq!(stalled, Some(9));
}

/// Guards against accepted streams that are refused because the retry budget is empty, and against
/// calls that are reported as not run although they may have run.
#[test]
fn exhausted_retries_keep_streams_and_never_report_not_run() {
    let mut simulation = Simulation::new(1, 3, 1);
    simulation.submit(0, generate("a", "stream"));
    simulation.send(
        0,
        Event::Progressed {
            delivered_tokens: 5,
            request: "stream".into(),
        },
    );
    simulation.send(
        0,
        Event::CallSubmitted(call("a", "call", OperationKind::Idempotent)),
    );
    for _ in 0..200 {
        for work in std::mem::take(&mut simulation.work) {
            let target = work.route[0].clone();
            simulation.fail(&work, &target, FailureKind::Silent, 0);
        }
        simulation.run(30);
    }
    simulation.run(2_000);
    assert!(
        simulation.refusals("stream").is_empty() && simulation.completed_at("stream").is_some()
    );
    assert!(
        simulation.refusals("call").is_empty(),
        "reported as not run"
    );
    let is_unknown = |entry: &(usize, Duration, Command)| {
        matches!(
            &entry.2,
            Command::AnswerCall {
                outcome: CallOutcome::Unknown,
                ..
            }
        )
    };
    assert!(simulation.log.iter().any(is_unknown));
}
