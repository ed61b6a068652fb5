//! Guards against callers that are refused because all engines with the first layer limit their requests, although
//! others could receive them.

use {
    layout::{Engine, LayerRange, additional_first_stage},
    yare::parameterized,
};

fn engine(id: &str, start: u32, end: u32, limit: Option<f64>) -> Engine {
    Engine {
        domain: "a".into(),
        held: LayerRange::new(start, end),
        id: id.into(),
        memory_mb: 20_000.0,
        pace: 1.0,
        request_limit_per_s: limit,
    }
}

/// Two pipelines and an engine that holds layers of both; the first stages take `limit` requests per second.
fn engines(limit: Option<f64>) -> Vec<Engine> {
    vec![
        engine("first-1", 0, 4, limit),
        engine("last-1", 4, 8, None),
        engine("first-2", 0, 4, limit),
        engine("last-2", 4, 8, None),
        engine("spare", 6, 8, None),
    ]
}

fn placed(engines: &[Engine], requests_per_s: f64) -> Option<String> {
    let placement = additional_first_stage(engines, requests_per_s)?;
    assert!(placement.range.contains(0));
    Some(placement.engine.to_string())
}

#[parameterized(
    too_low = { Some(10.0), 50.0, Some("spare") },
    very_low = { Some(0.0), 1.0, Some("spare") },
    barely_enough = { Some(10.0), 18.0, Some("spare") },
    enough = { Some(10.0), 15.0, None },
    without_limit = { None, 50.0, None },
    without_requests = { Some(10.0), 0.0, None },
)]
fn first_stage_is_added_when_limits_are_too_low(
    limit: Option<f64>,
    requests_per_s: f64,
    expected: Option<&str>,
) {
    assert_eq!(placed(&engines(limit), requests_per_s).as_deref(), expected);
}

#[test]
fn one_engine_without_a_limit_is_enough() {
    let mut engines = engines(Some(1.0));
    engines[0].request_limit_per_s = None;
    assert_eq!(placed(&engines, 50.0), None);
}

#[test]
fn empty_engine_is_used_first() {
    let mut engines = engines(Some(1.0));
    engines[3].held = None;
    assert_eq!(placed(&engines, 50.0).as_deref(), Some("last-2"));
}

/// Guards against layers that no engine holds any longer.
#[test]
fn engine_whose_layers_no_other_one_holds_stays() {
    let engines = [engine("first", 0, 4, Some(1.0)), engine("last", 4, 8, None)];
    assert_eq!(placed(&engines, 50.0), None);
}

/// Guards against an engine that limits its requests itself.
#[test]
fn limited_engine_is_not_used() {
    let mut engines = engines(Some(1.0));
    for engine in &mut engines[1..] {
        engine.request_limit_per_s = Some(1.0);
    }
    assert_eq!(placed(&engines, 50.0), None);
}
