//! Invalid rows, implausible load reports and clock jumps at a whole node. Guards against panics,
//! divisions by zero, and invalid input that stops work which does not depend on it.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod node_simulation;
mod support;

use {
    control::{AdmissionSettings, Command, Event, Node},
    node_simulation::builder::{address, call, generate, node, service},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    support::table::Table,
    types::{
        LayerRange, Listing, ListingRole, LoadReport, LoadedModel, OperationKind, OperatorLists,
        Plan, Row,
    },
};

const KEYS: [&str; 9] = [
    "call-expiry/0000000000/a/k",
    "call/a/k",
    "config/change/00000000000000000001",
    "config/change/00000000000000000002",
    "config/head",
    "config/snapshot",
    "order-tokens",
    "order/e0",
    "order/e1",
];

/// Row values that parse and have fields at their limits.
const EXTREME_VALUES: [&str; 10] = [
    "18446744073709551615",
    "{\"at_ms\":18446744073709551615,\"count\":1e308}",
    "{\"at_ms\":0,\"count\":-1e308}",
    "{\"at_ms\":0,\"count\":4,\"moves\":[{\"shards\":[[\"m\",{\"start\":0,\"end\":8}]],\"target\":\"e9\",\"until_ms\":18446744073709551615}]}",
    "{\"accounts\":{},\"plans\":{},\"version\":18446744073709551615}",
    "{\"change\":{\"DeletePlan\":{\"id\":\"x\"}},\"operation\":\"o\",\"version\":18446744073709551615}",
    "{\"change\":{\"DeletePlan\":{\"id\":\"x\"}},\"operation\":\"o\",\"version\":1}",
    "{\"body_hash\":\"hash\",\"expires_ms\":18446744073709551615,\"incarnation\":9,\"nonce\":\"n\",\"owner\":\"n0\",\"result\":null,\"state\":\"ran\"}",
    "{\"body_hash\":\"hash\",\"expires_ms\":0,\"incarnation\":0,\"nonce\":\"\",\"owner\":\"\",\"result\":null,\"state\":\"started\"}",
    "{\"models\":[{\"layer_count\":0,\"layers\":{\"start\":9,\"end\":1},\"model\":\"m\"}],\"role\":\"mixed\"}",
];

fn any_count() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0_u32..20]
}

fn any_rate() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(0.0),
        Just(1e308),
        0.0..50.0
    ]
}

fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0_u64..9_000]
}

prop_compose! {
    fn model()(start in any_count(), end in any_count(), layer_count in any_count()) -> LoadedModel {
        let layers = LayerRange { start, end };
        LoadedModel { adapters: Vec::new(), layer_count, layers, model: "m".into() }
    }
}

prop_compose! {
    fn report()(
        ages in (any_u64(), any_u64(), any_u64()),
        counts in (any_count(), any_count(), any_count()),
        incarnation in 0_u64..4,
        models in prop::collection::vec(model(), 0..4),
        rate_per_s in any_rate(),
    ) -> LoadReport {
        let (running_count, slot_count, waiting_count) = counts;
        LoadReport {
            age_ms: ages.0,
            cache_event_count: ages.1,
            fence: ages.2,
            incarnation,
            leaving: false,
            models,
            rate_per_s,
            running_count,
            slot_count,
            waiting_count,
        }
    }
}

fn row() -> impl Strategy<Value = (usize, String)> {
    let value = prop_oneof![
        ".{0,20}",
        Just("null".to_owned()),
        (0..EXTREME_VALUES.len()).prop_map(|index| EXTREME_VALUES[index].to_owned()),
    ];
    (0..KEYS.len(), value)
}

/// A node with two engines and a service that work, and with two engines whose reports are
/// implausible.
struct NodeHarness {
    dispatched: Vec<String>,
    ended: Vec<String>,
    listings: Vec<Listing>,
    logged: Vec<String>,
    node: Node,
    now: Duration,
    reports: Vec<LoadReport>,
    table: Table,
}

impl NodeHarness {
    fn new(reports: Vec<LoadReport>) -> Self {
        let engine = || ListingRole::Engine {
            accelerator: "k".into(),
            checks_fence: false,
        };
        let roles = [
            ("e0", engine()),
            ("e1", engine()),
            ("g0", engine()),
            ("g1", engine()),
        ];
        let mut listings = Vec::new();
        for (index, (id, role)) in roles.into_iter().chain([("s0", service())]).enumerate() {
            listings.push(Listing {
                address: address(20 + index),
                failure_domain: format!("d{}", index % 2).into(),
                id: id.into(),
                incarnation: 1,
                leaving: false,
                region: "r".into(),
                role,
            });
        }
        Self {
            dispatched: Vec::new(),
            ended: Vec::new(),
            listings,
            logged: Vec::new(),
            node: node(0, 0, AdmissionSettings::default()),
            now: Duration::ZERO,
            reports,
            table: Table::default(),
        }
    }

    fn report(&self, target: &str) -> LoadReport {
        let (is_absurd, index) = (target.starts_with('e'), usize::from(target.ends_with('1')));
        if is_absurd {
            return self.reports[index].clone();
        }
        let start = index as u32 * 8;
        let model = LoadedModel {
            adapters: Vec::new(),
            layer_count: 16,
            layers: LayerRange {
                start,
                end: start + 8,
            },
            model: "m".into(),
        };
        LoadReport {
            incarnation: 1,
            models: Vec::from_iter(target.starts_with('g').then_some(model)),
            slot_count: 4,
            ..LoadReport::default()
        }
    }

    fn send(&mut self, event: Event) {
        let mut events = std::collections::VecDeque::from([event]);
        let mut count = 0;
        while let Some(event) = events.pop_front() {
            count += 1;
            assert!(
                count < 100,
                "endless loop of commands and replies, last event {event:?}"
            );
            events.extend(self.handle(event));
        }
    }

    /// Passes one event to the node and returns the replies to its commands.
    fn handle(&mut self, event: Event) -> Vec<Event> {
        let mut events = Vec::new();
        for command in self.node.handle(self.now, event) {
            let event = match command {
                Command::AnswerCall { request, .. } | Command::Refuse { request, .. } => {
                    self.ended.push(request.to_string());
                    continue;
                }
                Command::DispatchCall { request, .. } => {
                    self.dispatched.push(request.to_string());
                    continue;
                }
                Command::DispatchGenerate { request, route, .. } => {
                    assert!(route.is_complete(), "{route:?}");
                    self.dispatched.push(request.to_string());
                    continue;
                }
                Command::SendOrder { .. } => {
                    self.dispatched.push("order".into());
                    continue;
                }
                Command::Log(decision) => {
                    self.logged.push(decision.subject.to_string());
                    continue;
                }
                Command::Poll { target, .. } => {
                    let report = self.report(&target);
                    Event::LoadReceived { report, target }
                }
                Command::ReadListing => Event::ListingRead {
                    listings: self.listings.clone(),
                },
                Command::Store { request, ticket } => {
                    let result = Ok(self.table.run(&request));
                    Event::StoreReplied { result, ticket }
                }
                _ => continue,
            };
            events.push(event);
        }
        events
    }

    fn run(&mut self, tick_count: u32) {
        for _ in 0..tick_count {
            self.now += Duration::from_millis(50);
            self.send(Event::Ticked);
        }
    }

    fn put(&mut self, key: &str, value: &str) {
        let (key, value): (std::sync::Arc<str>, _) = (key.into(), value.into());
        let version = self.table.rows.get(&key).map_or(1, |row| row.version + 1);
        self.table.rows.insert(
            key.clone(),
            Row {
                key,
                value,
                version,
            },
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 120,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    })]

    #[test]
    fn faulty_input_stops_no_other_work(
        jump_ms in prop_oneof![Just(0_u64), 0_u64..100_000, Just(400_000_000_000)],
        reports in prop::collection::vec(report(), 2),
        rows in prop::collection::vec(row(), 1..6),
    ) {
        let mut harness = NodeHarness::new(reports);
        harness.run(60);
        for (key, value) in &rows {
            harness.put(KEYS[*key], value);
        }
        harness.now += Duration::from_millis(jump_ms);
        harness.run(100);
        let mut faulty_key_call = call("a", "odd", OperationKind::NonRepeatable);
        faulty_key_call.key = Some("k".into());
        harness.send(Event::CallSubmitted(faulty_key_call));
        harness.send(Event::CallSubmitted(call("a", "once", OperationKind::NonRepeatable)));
        harness.send(Event::CallSubmitted(call("a", "many", OperationKind::Idempotent)));
        harness.send(Event::GenerateSubmitted(generate("a", "text")));
        // Longer than the deadline of the calls, so that each has its final answer.
        harness.run(220);
        for request in ["once", "many", "text"] {
            prop_assert!(harness.dispatched.iter().any(|one| one == request), "{request} of {:?}", harness.dispatched);
        }
        let has_request = |list: &[String]| list.iter().any(|one| one == "odd");
        prop_assert!(has_request(&harness.dispatched) || has_request(&harness.ended), "the call whose row is invalid got no answer");
        prop_assert_eq!(harness.node.unexpected_count(), 0);
    }

    /// Guards against invalid rows that are not logged.
    #[test]
    fn unreadable_rows_are_logged(key in prop::sample::select(vec!["call/a/k", "config/change/00000000000000000001", "config/snapshot", "order/e0"])) {
        let mut harness = NodeHarness::new(vec![LoadReport::default(); 2]);
        harness.put(key, "{");
        harness.run(100);
        let mut faulty_key_call = call("a", "odd", OperationKind::NonRepeatable);
        faulty_key_call.key = Some("k".into());
        harness.send(Event::CallSubmitted(faulty_key_call));
        harness.run(20);
        let name = key.rsplit_once('/').unwrap().1;
        prop_assert!(harness.logged.iter().any(|one| one.contains(name)), "{key} of {:?}", harness.logged);
    }
}

/// Guards against an invalid token row that stops all orders.
#[test]
fn faulty_token_row_does_not_stop_orders() {
    for value in ["{", EXTREME_VALUES[1], EXTREME_VALUES[2], EXTREME_VALUES[3]] {
        let idle = LoadReport {
            incarnation: 1,
            slot_count: 4,
            ..LoadReport::default()
        };
        let mut harness = NodeHarness::new(vec![idle; 2]);
        let plan = Plan {
            models: BTreeSet::from(["m".into()]),
            ..Plan::default()
        };
        let lists = OperatorLists {
            plans: BTreeMap::from([("a".into(), plan)]),
            version: 1,
            ..OperatorLists::default()
        };
        harness.put("config/head", "1");
        harness.put("config/snapshot", &serde_json::to_string(&lists).unwrap());
        harness.put("order-tokens", value);
        harness.run(600);
        assert!(
            harness.dispatched.iter().any(|one| one == "order"),
            "{value}"
        );
        assert!(
            harness.logged.iter().any(|one| one == "order-tokens"),
            "{value}"
        );
    }
}
