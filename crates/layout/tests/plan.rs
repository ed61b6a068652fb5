//! Guards against layouts with missing layers, engines beyond their memory, and needless loads.

use {
    layout::{Engine, LayerRange, LayoutSettings, ModelShape, plan},
    proptest::{prelude::*, test_runner::RngSeed},
    yare::parameterized,
};

const SHAPE: ModelShape = ModelShape {
    kv_mb_per_token_layer: 0.005,
    layer_count: 80,
    layer_mb: 1_750.0,
    link_tokens_per_s: 100_000.0,
};

fn engine(id: usize, domain: &str, memory_mb: f64) -> Engine {
    Engine {
        domain: domain.into(),
        held: None,
        id: format!("e{id:03}").into(),
        memory_mb,
        pace: 400_000.0 / memory_mb,
        request_limit_per_s: None,
    }
}

fn apply_plan(engines: &mut [Engine]) -> usize {
    let placements = plan(engines, &SHAPE, &LayoutSettings::default());
    for placement in &placements {
        let engine = engines.iter_mut().find(|one| one.id == placement.engine);
        engine.expect("an engine of the plan").held = Some(placement.range);
    }
    placements.len()
}

fn uncovered<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> Vec<u32> {
    let ranges: Vec<LayerRange> = engines.into_iter().filter_map(|one| one.held).collect();
    let is_held = |layer: &u32| ranges.iter().any(|range| range.contains(*layer));
    (0..SHAPE.layer_count)
        .filter(|layer| !is_held(layer))
        .collect()
}

fn domain(name: &str, first: usize, count: usize) -> Vec<Engine> {
    let memory = |id: usize| [36_000.0, 21_600.0, 14_400.0][id % 3];
    (first..first + count)
        .map(|id| engine(id, name, memory(id)))
        .collect()
}

#[test]
fn each_domain_that_can_holds_the_whole_model() {
    let mut engines = domain("a", 0, 12);
    engines.extend(domain("b", 20, 12));
    apply_plan(&mut engines);
    for name in ["a", "b"] {
        let held = engines.iter().filter(|engine| &*engine.domain == name);
        assert_eq!(
            uncovered(held),
            Vec::<u32>::new(),
            "layers missing in {name}"
        );
    }
}

#[test]
fn domains_that_cannot_hold_the_model_alone_share_one() {
    let mut engines = domain("a", 0, 4);
    engines.extend(domain("b", 20, 4));
    engines.extend(domain("c", 40, 4));
    apply_plan(&mut engines);
    assert_eq!(uncovered(&engines), Vec::<u32>::new());
}

#[test]
fn spare_memory_holds_layers_a_second_time() {
    let mut engines = domain("a", 0, 21);
    apply_plan(&mut engines);
    let held: u32 = engines
        .iter()
        .filter_map(|one| one.held)
        .map(LayerRange::count)
        .sum();
    assert!(held > SHAPE.layer_count + 40, "only {held} layers held");
}

#[test]
fn complete_layout_is_unchanged() {
    let mut engines = domain("a", 0, 15);
    assert!(apply_plan(&mut engines) > 0);
    assert_eq!(
        apply_plan(&mut engines),
        0,
        "engines load layers needlessly"
    );
}

#[test]
fn restarted_engine_takes_the_layers_that_it_left_missing() {
    let mut engines = domain("a", 0, 10);
    apply_plan(&mut engines);
    let lost = engines.iter().position(|one| {
        let others = engines.iter().filter(|other| other.id != one.id);
        !uncovered(others).is_empty()
    });
    let lost = lost.unwrap();
    engines[lost].held = None;
    assert_eq!(apply_plan(&mut engines), 1);
    assert_eq!(uncovered(&engines), Vec::<u32>::new());
}

#[test]
fn engine_lost_for_good_is_replaced_by_one_whose_layers_are_held_twice() {
    let mut engines = domain("a", 0, 20);
    apply_plan(&mut engines);
    for lost in 0..engines.len() {
        let mut rest = engines.clone();
        rest.remove(lost);
        let loads = apply_plan(&mut rest);
        assert_eq!(uncovered(&rest), Vec::<u32>::new(), "without engine {lost}");
        assert!(loads <= 3, "{loads} loads for one lost engine");
    }
}

#[parameterized(none = { 0 }, one = { 1 }, few = { 3 })]
fn too_few_engines_do_not_panic(count: usize) {
    apply_plan(&mut domain("a", 0, count));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against placements that exceed the memory of an engine, which crash it.
    #[test]
    fn no_engine_exceeds_its_memory(
        sizes in proptest::collection::vec((0_usize..3, 8_000.0..80_000.0_f64), 1..40),
        lost in proptest::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let names = ["a", "b", "c"];
        let mut engines: Vec<Engine> = sizes
            .iter()
            .enumerate()
            .map(|(id, (domain, memory_mb))| engine(id, names[*domain], *memory_mb))
            .collect();
        apply_plan(&mut engines);
        for index in &lost {
            if engines.len() > 1 {
                engines.remove(index.index(engines.len()));
            }
        }
        apply_plan(&mut engines);
        for engine in &engines {
            let Some(range) = engine.held else { continue };
            prop_assert!(range.end <= SHAPE.layer_count);
            prop_assert!(f64::from(range.count()) * SHAPE.layer_mb <= engine.memory_mb);
        }
    }
}

/// Minimum over all layers of the request memory of the engines that hold the layer, in tokens. It limits
/// how many tokens the layout can serve at once.
fn min_reserved_tokens(engines: &[Engine]) -> f64 {
    let tokens = |layer: u32| {
        let holds = |engine: &&Engine| engine.held.is_some_and(|range| range.contains(layer));
        let kept = engines.iter().filter(holds).map(|engine| {
            let count = f64::from(engine.held.map_or(1, LayerRange::count));
            (engine.memory_mb - count * SHAPE.layer_mb) / (count * SHAPE.kv_mb_per_token_layer)
        });
        kept.sum::<f64>()
    };
    (0..SHAPE.layer_count).map(tokens).fold(f64::MAX, f64::min)
}

/// Guards against unused memory: with three failure domains that could each hold the model one and a half
/// times, each domain held the last layers only once. The engines with these layers were full while half
/// of the others were idle.
#[test]
fn unused_engines_of_several_domains_form_pipelines() {
    let mut engines = Vec::new();
    for (at, name) in ["a", "b", "c"].iter().enumerate() {
        for id in 0..4 {
            engines.push(engine(at * 100 + id, name, 72_000.0));
        }
    }
    apply_plan(&mut engines);
    let mut counts = vec![0; SHAPE.layer_count as usize];
    for range in engines.iter().filter_map(|engine| engine.held) {
        for layer in range.start..range.end {
            counts[layer as usize] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count >= 4), "{counts:?}");
    assert!(
        min_reserved_tokens(&engines) >= 400_000.0,
        "{}",
        min_reserved_tokens(&engines)
    );
}

/// Guards against an overloaded engine after a loss: three engines with the same layers failed at once,
/// and the only one left served all requests of the domain, while five engines each held other layers.
#[test]
fn undercovered_layers_get_redundant_engines() {
    let mut engines = domain("a", 0, 60);
    apply_plan(&mut engines);
    let last = engines
        .iter()
        .filter_map(|engine| engine.held)
        .max_by_key(|range| range.end);
    let layer = last.unwrap().start;
    let holds = |engine: &Engine| engine.held.is_some_and(|range| range.contains(layer));
    let before = engines.iter().filter(|engine| holds(engine)).count();
    assert!(before >= 3, "{before}");
    let mut unused = 1;
    engines.retain(|engine| {
        let is_kept = !holds(engine) || unused > 0;
        unused -= i32::from(holds(engine));
        is_kept
    });
    let loads = apply_plan(&mut engines);
    let after = engines.iter().filter(|engine| holds(engine)).count();
    assert!(
        after * 2 >= before,
        "{after} of {before} hold layer {layer}"
    );
    assert!(loads <= before * 3, "{loads} loads");
}

/// Guards against pipelines that span three failure domains and saturate the narrow links between them,
/// so that no event arrives in time.
#[test]
fn no_pipeline_spans_a_narrow_link() {
    let shape = ModelShape {
        link_tokens_per_s: 10_000.0,
        ..SHAPE
    };
    let mut engines = Vec::new();
    for (at, name) in ["a", "b", "c"].iter().enumerate() {
        for id in 0..4 {
            engines.push(engine(at * 100 + id, name, 72_000.0));
        }
    }
    let placements = plan(&engines, &shape, &LayoutSettings::default());
    for placement in &placements {
        let engine = engines.iter_mut().find(|one| one.id == placement.engine);
        engine.expect("an engine of the plan").held = Some(placement.range);
    }
    for name in ["a", "b", "c"] {
        let held = engines.iter().filter(|one| &*one.domain == name);
        let first: Vec<_> = held
            .filter(|one| one.held.is_some_and(|range| range.start == 0))
            .collect();
        assert!(
            first.len() >= 2,
            "spare engines of {name} hold its first layers"
        );
    }
}
