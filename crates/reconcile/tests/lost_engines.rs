//! Guards against layers that stay without a holder after engines are lost, although the others have the memory.

use {
    catalog::{EngineProfile, HardwareKind},
    fleet::Target,
    layout::{LayerRange, LayoutSettings},
    proptest::{prelude::*, test_runner::RngSeed},
    reconcile::{FirstStageLoad, LayoutReconciler, Order},
    std::time::Duration,
    yare::parameterized,
};

const LAYER_COUNT: u32 = 80;
const LAYER_MB: f64 = 1_750.0;
const KINDS: [(&str, f64, f64); 3] = [
    ("large", 36_000.0, 3.1),
    ("medium", 21_600.0, 16.0),
    ("small", 14_400.0, 15.0),
];
/// Time between two rounds of the reconciler.
const ROUND: Duration = Duration::from_millis(300);
/// Rounds within which the layout must be complete after a change: the delay, one plan, and one more for
/// engines that were loading.
const MAX_ROUNDS: usize = 40;

fn profile() -> EngineProfile {
    let kind = |(name, memory_mb, pace): (&str, f64, f64)| HardwareKind {
        memory_mb,
        name: name.into(),
        pace,
        read_factor: 1.0,
    };
    EngineProfile {
        activation_bytes: 20_000.0,
        context_ms_per_thousand: 0.0,
        kinds: KINDS.into_iter().map(kind).collect(),
        kv_bytes_per_token: 400_000.0,
        layer_count: LAYER_COUNT,
        layer_mb: LAYER_MB,
        pipe_mbps: 9_300.0,
        read_tokens_per_s: 272_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.0,
        usual_answer_tokens: 146.0,
        usual_prompt_tokens: 760.0,
    }
}

/// Engines that carry out orders, and the reconciler that sends them.
struct Fleet {
    engines: Vec<Target>,
    next_id: u16,
    now: Duration,
    reconciler: LayoutReconciler,
    /// Ids of engines that refuse all orders.
    refusing: Vec<String>,
}

impl Fleet {
    fn new(members: &[(usize, usize)]) -> Self {
        let mut fleet = Self {
            engines: Vec::new(),
            next_id: 0,
            now: Duration::ZERO,
            reconciler: LayoutReconciler::new(LayoutSettings::default()),
            refusing: Vec::new(),
        };
        for (domain, kind) in members {
            fleet.add(*domain, *kind);
        }
        fleet
    }

    fn add(&mut self, domain: usize, kind: usize) {
        self.engines.push(Target {
            address: ([10, 0, 0, 1], 8_000 + self.next_id).into(),
            domain: ["a", "b", "c"][domain].into(),
            hardware: Some(KINDS[kind].0.into()),
            held: None,
            id: format!("e{:03}", self.next_id).into(),
            incarnation: 0,
            is_leaving: false,
            service: "model".into(),
            slot_count: 192,
        });
        self.next_id += 1;
    }

    /// Runs one round, and returns the number of orders that it sent.
    fn round(&mut self) -> usize {
        self.now += ROUND;
        let load = FirstStageLoad::default();
        let orders = self
            .reconciler
            .orders(self.now, "model", &profile(), &self.engines, &load);
        for Order { placement, .. } in &orders {
            let engine = self
                .engines
                .iter_mut()
                .find(|one| one.id == placement.engine);
            let engine = engine.expect("an order for a listed engine");
            let kind = KINDS
                .iter()
                .find(|(name, ..)| engine.hardware.as_deref() == Some(name));
            let (_, memory_mb, _) = kind.expect("an engine of a known kind");
            assert!(placement.range.end <= LAYER_COUNT, "{placement:?}");
            assert!(
                f64::from(placement.range.count()) * LAYER_MB <= *memory_mb,
                "more than the memory of a {memory_mb} MB engine: {placement:?}"
            );
            if self.refusing.iter().any(|id| **id == *engine.id) {
                self.reconciler.record_refusal(self.now, &engine.id);
                continue;
            }
            engine.held = Some(placement.range);
            self.reconciler.record_order(self.now, placement);
        }
        orders.len()
    }

    fn missing(&self) -> Vec<u32> {
        let staying = self.engines.iter().filter(|one| !one.is_leaving);
        let ranges: Vec<LayerRange> = staying.filter_map(|one| one.held).collect();
        let is_held = |layer: &u32| ranges.iter().any(|range| range.contains(*layer));
        (0..LAYER_COUNT).filter(|layer| !is_held(layer)).collect()
    }

    /// Whether the engines that accept orders have the memory for all layers and some requests.
    fn has_room(&self) -> bool {
        let mut sum = 0;
        for engine in &self.engines {
            if engine.is_leaving || self.refusing.iter().any(|id| **id == *engine.id) {
                continue;
            }
            let kind = KINDS
                .iter()
                .find(|(name, ..)| engine.hardware.as_deref() == Some(name));
            let tokens = LayoutSettings::default().min_reserved_tokens;
            sum +=
                (kind.expect("an engine of a known kind").1 / (LAYER_MB + tokens * 0.005)) as u32;
        }
        sum >= LAYER_COUNT
    }

    /// Runs rounds until no layer is missing and no order was sent for some time. Returns the number of
    /// orders.
    fn settle(&mut self) -> usize {
        let (mut order_count, mut quiet_rounds) = (0, 0);
        for _ in 0..MAX_ROUNDS {
            let count = self.round();
            order_count += count;
            quiet_rounds = if count == 0 { quiet_rounds + 1 } else { 0 };
        }
        assert_eq!(self.missing(), Vec::<u32>::new(), "layers without a holder");
        let acceptance = self.refusing.is_empty();
        assert!(
            !acceptance || quiet_rounds >= MAX_ROUNDS / 4,
            "orders go on after the layout is complete"
        );
        order_count
    }
}

/// Two engines of 36 GB, four of 21.6 GB and five of 14.4 GB in two failure domains, which hold the model once.
fn eleven_engines() -> Fleet {
    let kinds = [0, 1, 1, 2, 2, 2, 0, 1, 1, 2, 2];
    let members: Vec<(usize, usize)> = kinds
        .into_iter()
        .enumerate()
        .map(|(at, kind)| (usize::from(at >= 6), kind))
        .collect();
    let mut fleet = Fleet::new(&members);
    fleet.settle();
    fleet
}

/// Guards against a model that is refused for good after the loss of one of eleven engines: none of the
/// others was empty or redundant, so none was ever told to hold its layers.
#[test]
fn layers_of_a_lost_engine_move_to_engines_with_free_memory() {
    for lost in 0..11 {
        let mut fleet = eleven_engines();
        let held = fleet.engines[lost].held.unwrap().count();
        fleet.engines.remove(lost);
        fleet.settle();
        let ranges: u32 = fleet
            .engines
            .iter()
            .filter_map(|one| one.held)
            .map(LayerRange::count)
            .sum();
        assert!(
            ranges < LAYER_COUNT + held,
            "{ranges} layers held after engine {lost}"
        );
    }
}

/// Guards against the same outage after a planned removal, before the engine is gone.
#[test]
fn layers_of_a_leaving_engine_move_to_engines_with_free_memory() {
    let mut fleet = eleven_engines();
    fleet.engines[4].is_leaving = true;
    fleet.settle();
}

/// Guards against needless loads for an engine that is missing from the list only for a moment.
#[test]
fn engine_listed_again_soon_moves_no_layers() {
    let mut fleet = eleven_engines();
    let engine = fleet.engines.remove(4);
    for _ in 0..3 {
        assert_eq!(fleet.round(), 0, "moved layers at {:?}", fleet.now);
    }
    fleet.engines.insert(4, engine);
    assert_eq!(fleet.settle(), 0);
}

/// Guards against an engine that restarted empty and whose layers others load in the meantime.
#[test]
fn engine_that_restarts_empty_loads_its_layers_itself() {
    let mut fleet = eleven_engines();
    fleet.engines[4].held = None;
    assert_eq!(fleet.settle(), 1);
}

/// Guards against layers that wait for an engine that refuses its orders.
#[parameterized(empty = { true }, moved = { false })]
fn engine_that_refuses_orders_is_not_waited_for(is_empty: bool) {
    let mut fleet = eleven_engines();
    match is_empty {
        true => fleet.engines[4].held = None,
        false => {
            fleet.engines.remove(4);
        }
    }
    fleet.refusing = vec![fleet.engines[4].id.to_string()];
    fleet.settle();
}

/// Guards against engines that hold more than their memory, or orders without end, where the memory does not
/// suffice.
#[test]
fn engines_without_enough_memory_stop_receiving_orders() {
    let mut fleet = eleven_engines();
    fleet.engines.truncate(5);
    for _ in 0..MAX_ROUNDS {
        fleet.round();
    }
    assert_eq!(fleet.round(), 0);
    assert!(!fleet.missing().is_empty());
}

#[derive(Clone, Debug)]
enum Change {
    Add(usize, usize),
    Leave(prop::sample::Index),
    Lose(prop::sample::Index, usize),
    Refuse(prop::sample::Index),
    Restart(prop::sample::Index),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0_usize..3, 0_usize..3).prop_map(|(domain, kind)| Change::Add(domain, kind)),
        any::<prop::sample::Index>().prop_map(Change::Leave),
        (any::<prop::sample::Index>(), 1_usize..4)
            .prop_map(|(index, count)| Change::Lose(index, count)),
        any::<prop::sample::Index>().prop_map(Change::Refuse),
        any::<prop::sample::Index>().prop_map(Change::Restart),
    ]
}

fn apply(fleet: &mut Fleet, change: &Change) {
    let count = fleet.engines.len();
    match change {
        Change::Add(domain, kind) => fleet.add(*domain, *kind),
        _ if count == 0 => {}
        Change::Leave(index) => fleet.engines[index.index(count)].is_leaving = true,
        Change::Lose(index, lost) => {
            for _ in 0..*lost {
                if !fleet.engines.is_empty() {
                    fleet.engines.remove(index.index(fleet.engines.len()));
                }
            }
        }
        // An engine that refuses orders still holds its layers.
        Change::Refuse(index) => {
            let id = fleet.engines[index.index(count)].id.to_string();
            fleet.refusing = vec![id];
        }
        Change::Restart(index) => fleet.engines[index.index(count)].held = None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// Guards against layouts that stay incomplete, or change without end, after any series of changes that
    /// leaves room for the model. Changes also come before the layout is complete.
    #[test]
    fn any_fleet_with_room_for_the_model_reaches_a_complete_layout(
        members in proptest::collection::vec((0_usize..3, 0_usize..3), 6..40),
        changes in proptest::collection::vec((change(), 0_usize..12), 1..12),
    ) {
        let mut fleet = Fleet::new(&members);
        for (change, rounds) in &changes {
            apply(&mut fleet, change);
            for _ in 0..*rounds {
                fleet.round();
            }
        }
        if fleet.has_room() {
            fleet.settle();
            if fleet.refusing.is_empty() {
                prop_assert_eq!(fleet.settle(), 0, "a complete layout was changed");
            }
        }
    }
}
