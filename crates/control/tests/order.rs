//! Single failures of orders to engines and of placement.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::OrderSettings,
    support::{
        engine_listing,
        orders::{OrderHarness, StoreBehavior, loaded},
    },
};

/// Harness in which the engines of model `m` are overloaded and the engine `spare` holds nothing.
fn short_of_engines() -> OrderHarness {
    let engines = [
        ("e1", "a", 12, "m"),
        ("e2", "b", 12, "m"),
        ("spare", "b", 0, ""),
    ];
    OrderHarness::new(&engines, OrderSettings::default())
}

/// Guards against an order that is sent before its row is written, a second order while the first
/// is outstanding, and a decision without a reason in the log.
#[test]
fn sustained_need_loads_one_engine_and_waits() {
    let mut harness = short_of_engines();
    harness.run(30_000);
    assert_eq!(harness.targets(), ["spare"]);
    let decision = harness
        .logs
        .iter()
        .find(|decision| decision.kind == "order")
        .unwrap();
    assert!(decision.reason.contains("high use"), "{}", decision.reason);
    harness.apply_sent_orders();
    harness.run(60_000);
    assert_eq!(harness.targets(), ["spare"]);
}

/// Guards against moving engines for a short burst, or back and forth at a limit.
#[test]
fn brief_or_moderate_need_moves_no_engine() {
    let mut harness = short_of_engines();
    harness.run(8_000);
    for _ in 0..4 {
        for (running_count, duration_ms) in [(6, 3_000), (8, 20_000), (12, 8_000)] {
            for name in ["e1", "e2"] {
                harness.mesh.reports.get_mut(name).unwrap().running_count = running_count;
            }
            harness.run(duration_ms);
        }
    }
    assert!(harness.sent.is_empty());
}

/// Guards against an engine that ignores fences and stays in the state of an older order.
#[test]
fn report_of_another_state_repeats_the_order_under_a_new_fence() {
    let mut harness = short_of_engines();
    harness.run(20_000);
    harness.apply_sent_orders();
    harness.run(5_000);
    harness.mesh.reports.get_mut("spare").unwrap().models = vec![loaded("old")];
    harness.run(60_000);
    let (first, last) = (&harness.sent[0].1, &harness.sent.last().unwrap().1);
    assert_eq!(first.wanted, last.wanted);
    assert!(last.fence > first.fence && harness.sent.len() <= 3);
}

/// Guards against sending an order whose write may not have taken effect, and against a paused
/// owner that sends an order which another owner may have replaced.
#[test]
fn lost_or_late_write_sends_nothing_until_the_wait_is_over() {
    for store in [StoreBehavior::Lost, StoreBehavior::Late(6_000)] {
        let mut harness = short_of_engines();
        harness.run(10_000);
        harness.store = store;
        harness.run(3_000);
        assert!(harness.sent.is_empty());
        harness.store = StoreBehavior::Works;
        harness.run(80_000);
        assert!(harness.sent.iter().all(|(target, _)| &**target == "spare"));
        assert!(!harness.sent.is_empty());
    }
}

/// Guards against a new owner that sends an order while its predecessor's is outstanding.
#[test]
fn order_of_an_earlier_owner_is_waited_for() {
    let mut harness = short_of_engines();
    harness.run(20_000);
    assert_eq!(harness.sent.len(), 1);
    harness.replace_owner();
    harness.run(29_000);
    assert_eq!(harness.sent.len(), 1);
    harness.run(20_000);
    assert_eq!(harness.sent.len(), 2);
}

/// Guards against more loads than the weight store permits.
#[test]
fn loads_are_spaced_by_the_token_row() {
    let settings = OrderSettings {
        lasting_ms: 1_000,
        loads_per_minute: 1.0,
        token_max_count: 1.0,
        wait_ms: 1_000,
        ..OrderSettings::default()
    };
    let mut engines = vec![("e1", "a", 90, "m"), ("e2", "b", 90, "m")];
    engines.extend(["s1", "s2", "s3"].map(|name| (name, "a", 0, "")));
    let mut harness = OrderHarness::new(&engines, settings);
    for count in 1..=3 {
        harness.run(if count == 1 { 10_000 } else { 60_000 });
        harness.apply_sent_orders();
        assert!((1..=count).contains(&harness.sent.len()));
    }
    assert!(harness.sent.len() >= 2);
}

/// Guards against taking an engine from a model that would then be in one failure domain only, or
/// overloaded itself.
#[test]
fn donors_keep_their_failure_domains_and_capacity() {
    let engines = [
        ("e1", "a", 20, "m"),
        ("e2", "b", 20, "m"),
        ("d1", "a", 0, "idle"),
        ("d2", "b", 0, "idle"),
        ("f1", "a", 8, "full"),
        ("f2", "b", 8, "full"),
        ("f3", "b", 8, "full"),
    ];
    let mut harness = OrderHarness::new(&engines, OrderSettings::default());
    harness.run(60_000);
    assert!(harness.sent.is_empty(), "{:?}", harness.targets());
    harness.mesh.listings.push(engine_listing("d3", "b"));
    let report = harness.mesh.reports["d2"].clone();
    harness.mesh.reports.insert("d3".into(), report);
    harness.run(60_000);
    assert!(
        harness
            .targets()
            .iter()
            .all(|target| ["d2", "d3"].contains(target))
    );
    assert!(!harness.sent.is_empty());
}

/// Guards against a model that stays in one failure domain, whose loss would make it unavailable.
#[test]
fn lost_failure_domain_is_replaced_by_another() {
    let engines = [("e1", "a", 1, "m"), ("s1", "a", 0, ""), ("s2", "b", 0, "")];
    let mut harness = OrderHarness::new(&engines, OrderSettings::default());
    harness.run(30_000);
    assert_eq!(harness.targets(), ["s2"]);
}
