//! Streams on engines that leave as planned.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod node_simulation;

use {
    control::{Command, Event},
    node_simulation::{Simulation, builder::generate},
    std::time::Duration,
    types::{FailureKind, TargetId},
    yare::parameterized,
};

const GRACE_MS: u64 = 30_000;

/// Starts a stream of two minutes and makes the engine of its last stage leave. Returns the route.
fn stream_on_leaving_engine(
    prompt_tokens: u32,
    stages: u32,
    regions: &'static [&'static str],
) -> (Simulation, Vec<TargetId>) {
    let mut simulation = Simulation::with_regions(1, 2, stages, regions);
    let request = "r";
    simulation
        .durations
        .insert(request.into(), Duration::from_secs(120));
    let mut prompt = generate("a", request);
    prompt.prompt_tokens = prompt_tokens;
    simulation.submit(0, prompt);
    simulation.run(1_000);
    let route = simulation.routes(request).remove(0);
    let mut listings = simulation.listings.iter_mut();
    let leaving = listings.find(|listing| listing.id == route[route.len() - 1]);
    leaving.unwrap().leaving = true;
    (simulation, route)
}

fn cache_moves(simulation: &Simulation) -> Vec<(TargetId, TargetId)> {
    let commands = simulation
        .log
        .iter()
        .filter_map(|(_, _, command)| match command {
            Command::MoveCache { from, to, .. } => Some((from.clone(), to.clone())),
            _ => None,
        });
    commands.collect()
}

fn cache_moved(from: &TargetId, attempt: u32, result: Result<u32, FailureKind>) -> Event {
    Event::CacheMoved {
        attempt,
        from: from.clone(),
        request: "r".into(),
        result,
    }
}

/// Guards against a stream that is aborted or moved before the grace period of a leaving engine
/// ends.
#[test]
fn stream_stays_within_the_grace_period() {
    let (mut simulation, _) = stream_on_leaving_engine(4_000, 2, &["r"]);
    simulation.run(GRACE_MS - 1_000);
    assert_eq!(simulation.routes("r").len(), 1);
    assert_eq!(cache_moves(&simulation), []);
}

/// Guards against a new attempt that starts before its cache has arrived, keeps the leaving engine,
/// or waits for a cache move that failed or never ends.
#[parameterized(
    bound = { None },
    failed = { Some(Err(FailureKind::Refused)) },
    success = { Some(Ok(4_000)) },
)]
fn cache_is_moved_before_the_new_attempt(result: Option<Result<u32, FailureKind>>) {
    let (mut simulation, old) = stream_on_leaving_engine(4_000, 2, &["r"]);
    while cache_moves(&simulation).is_empty() {
        simulation.run(50);
        assert!(simulation.now < Duration::from_millis(2 * GRACE_MS));
    }
    let [(from, to)] = &cache_moves(&simulation)[..] else {
        panic!("{:?}", cache_moves(&simulation));
    };
    assert_eq!(from, &old[1]);
    simulation.run(500);
    assert_eq!(
        simulation.routes("r").len(),
        1,
        "started before the move ended"
    );
    simulation.send(0, cache_moved(from, 7, Ok(1)));
    assert_eq!(
        simulation.routes("r").len(),
        1,
        "handled the result of another attempt"
    );
    match result {
        None => {
            assert!(simulation.nodes[0].wake_at().unwrap() > simulation.now);
            simulation.run(1_500);
        }
        Some(result) => {
            simulation.send(0, cache_moved(from, 1, result));
        }
    }
    let routes = simulation.routes("r");
    assert_eq!(routes[1..], [vec![old[0].clone(), to.clone()]]);
    let cancels = simulation
        .log
        .iter()
        .filter(|(_, _, command)| matches!(command, Command::Cancel { attempt: 1, .. }));
    assert_eq!(cancels.count(), 1);
    simulation.send(0, cache_moved(from, 1, Ok(1)));
    simulation.run(125_000);
    assert!(simulation.completed_at("r").is_some());
    assert_eq!(simulation.routes("r").len(), 2);
    assert_eq!(simulation.nodes[0].unexpected_count(), 0);
}

/// Guards against a cache move that is slower than prefill or exceeds the maximum move time. At 20
/// ms per token and a prefill that is 20 times faster, 1,000 tokens take 1 s to prefill. Moving
/// their 8,000 layers takes 40 ms to another domain and 1.6 s to another region.
#[parameterized(
    domain = { &["r"], 1_000, true },
    region = { &["r", "far"], 1_000, false },
    too_large = { &["r"], 4_000_000, false },
)]
fn cache_is_moved_only_if_cheaper_than_prefill(
    regions: &'static [&'static str],
    prompt_tokens: u32,
    is_moved: bool,
) {
    let (mut simulation, old) = stream_on_leaving_engine(prompt_tokens, 1, regions);
    simulation.run(GRACE_MS + 10_000);
    assert_eq!(cache_moves(&simulation).len(), usize::from(is_moved));
    let routes = simulation.routes("r");
    assert_eq!(routes.len(), 2);
    assert_ne!(routes[1], old);
}

/// Guards against a stream that is stopped although no other engine can continue it.
#[test]
fn stream_stays_if_no_engine_can_replace_the_leaving_one() {
    let (mut simulation, old) = stream_on_leaving_engine(4_000, 2, &["r"]);
    let other = if &*old[1] == "e0-1" { "e1-1" } else { "e0-1" };
    simulation.kill(other);
    simulation.run(GRACE_MS + 60_000);
    assert_eq!(simulation.routes("r").len(), 1);
    simulation.run(40_000);
    assert!(simulation.completed_at("r").is_some());
}
