//! Faulty rows, absurd load reports and jumping clocks at a whole node. Guards against a panic, a
//! division by zero, and a faulty input that stops work which does not depend on it.
#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

mod support;
mod world;

use {
    control::{AdmissionSettings, Command, Event, Node},
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
    world::builder::{address, call, generate, node, service},
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

/// Rows with fields at their limits, which parse.
const EXTREMES: [&str; 10] = [
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

fn number() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0_u32..20]
}

fn rate() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(0.0),
        Just(1e308),
        0.0..50.0
    ]
}

fn big() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), 0_u64..9_000]
}

prop_compose! {
    fn model()(start in number(), end in number(), layer_count in number()) -> LoadedModel {
        let layers = LayerRange { start, end };
        LoadedModel { adapters: Vec::new(), layer_count, layers, model: "m".into() }
    }
}

prop_compose! {
    fn report()(
        ages in (big(), big(), big()),
        counts in (number(), number(), number()),
        incarnation in 0_u64..4,
        models in prop::collection::vec(model(), 0..4),
        rate_per_s in rate(),
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
        (0..EXTREMES.len()).prop_map(|index| EXTREMES[index].to_owned()),
    ];
    (0..KEYS.len(), value)
}

/// A node with two engines and a service that work, and two engines whose reports are absurd.
struct Bench {
    dispatched: Vec<String>,
    ended: Vec<String>,
    listings: Vec<Listing>,
    logged: Vec<String>,
    node: Node,
    now: Duration,
    reports: Vec<LoadReport>,
    table: Table,
}

impl Bench {
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
            assert!(count < 100, "a loop of requests, now {event:?}");
            events.extend(self.take(event));
        }
    }

    /// Hands one event to the node and returns the replies to its commands.
    fn take(&mut self, event: Event) -> Vec<Event> {
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
        let mut bench = Bench::new(reports);
        bench.run(60);
        for (key, value) in &rows {
            bench.put(KEYS[*key], value);
        }
        bench.now += Duration::from_millis(jump_ms);
        bench.run(100);
        let mut odd = call("a", "odd", OperationKind::NonRepeatable);
        odd.key = Some("k".into());
        bench.send(Event::CallSubmitted(odd));
        bench.send(Event::CallSubmitted(call("a", "once", OperationKind::NonRepeatable)));
        bench.send(Event::CallSubmitted(call("a", "many", OperationKind::Idempotent)));
        bench.send(Event::GenerateSubmitted(generate("a", "text")));
        // Longer than the deadline of the calls.
        bench.run(220);
        for request in ["once", "many", "text"] {
            prop_assert!(bench.dispatched.iter().any(|one| one == request), "{request} of {:?}", bench.dispatched);
        }
        let has = |list: &[String]| list.iter().any(|one| one == "odd");
        prop_assert!(has(&bench.dispatched) || has(&bench.ended), "no answer to the key of a faulty row");
        prop_assert_eq!(bench.node.unexpected_count(), 0);
    }

    /// Guards against faulty rows that nobody is told of.
    #[test]
    fn unreadable_rows_are_logged(key in prop::sample::select(vec!["call/a/k", "config/change/00000000000000000001", "config/snapshot", "order/e0"])) {
        let mut bench = Bench::new(vec![LoadReport::default(); 2]);
        bench.put(key, "{");
        bench.run(100);
        let mut odd = call("a", "odd", OperationKind::NonRepeatable);
        odd.key = Some("k".into());
        bench.send(Event::CallSubmitted(odd));
        bench.run(20);
        let name = key.rsplit_once('/').unwrap().1;
        prop_assert!(bench.logged.iter().any(|one| one.contains(name)), "{key} of {:?}", bench.logged);
    }
}

/// Guards against a faulty token row that ends all orders.
#[test]
fn faulty_token_row_does_not_stop_orders() {
    for value in ["{", EXTREMES[1], EXTREMES[2], EXTREMES[3]] {
        let idle = LoadReport {
            incarnation: 1,
            slot_count: 4,
            ..LoadReport::default()
        };
        let mut bench = Bench::new(vec![idle; 2]);
        let plan = Plan {
            models: BTreeSet::from(["m".into()]),
            ..Plan::default()
        };
        let lists = OperatorLists {
            plans: BTreeMap::from([("a".into(), plan)]),
            version: 1,
            ..OperatorLists::default()
        };
        bench.put("config/head", "1");
        bench.put("config/snapshot", &serde_json::to_string(&lists).unwrap());
        bench.put("order-tokens", value);
        bench.run(600);
        assert!(bench.dispatched.iter().any(|one| one == "order"), "{value}");
        assert!(
            bench.logged.iter().any(|one| one == "order-tokens"),
            "{value}"
        );
    }
}
