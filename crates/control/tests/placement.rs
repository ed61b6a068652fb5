//! Loading and unloading of models by demand.
#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

mod support;

use {
    control::{ModelShape, OrderSettings},
    std::collections::BTreeMap,
    support::{
        ms,
        orders::{OrderHarness, lists_naming, loaded},
    },
    types::{LayerRange, LoadedModel},
    yare::parameterized,
};

fn order_settings(model: &str, adapters: &[&str], stage_count: u32) -> OrderSettings {
    let shape = ModelShape {
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
        layer_count: 8,
        stage_count,
    };
    OrderSettings {
        models: BTreeMap::from([(model.into(), shape)]),
        token_max_count: 20.0,
        ..OrderSettings::default()
    }
}

/// Models of the latest order of each engine.
fn ordered_models(world: &OrderHarness) -> BTreeMap<&str, Vec<LoadedModel>> {
    let orders = world.sent.iter();
    orders
        .map(|(target, order)| (&**target, order.wanted.models.clone()))
        .collect()
}

/// Guards against a model that is named by a plan and is not loaded, only in part, or without its
/// adapters.
#[test]
fn missing_model_is_loaded_in_every_domain() {
    let engines = [
        ("e1", "a", 0, ""),
        ("e2", "a", 0, ""),
        ("e3", "b", 0, ""),
        ("e4", "b", 0, ""),
    ];
    let mut world = OrderHarness::new(&engines, order_settings("m", &["v1"], 2));
    for _ in 0..40 {
        world.run(5_000);
        world.apply_sent_orders();
    }
    let mut held: Vec<(String, LayerRange)> = Vec::new();
    for (name, domain, ..) in engines {
        let report = &world.mesh.reports[name];
        let [model] = &report.models[..] else {
            panic!("{name} holds {:?}", report.models);
        };
        assert_eq!(model.adapters, ["v1".into()]);
        held.push((domain.into(), model.layers));
    }
    held.sort_by_key(|(domain, layers)| (domain.clone(), layers.start));
    let halves = [0, 4].map(|start| LayerRange {
        start,
        end: start + 4,
    });
    let expected = ["a", "b"].map(|domain| halves.map(|half| (String::from(domain), half)));
    assert_eq!(held, expected.concat());
    let mut reasons = world.logs.iter().filter(|log| log.kind == "order");
    assert!(reasons.any(|log| log.reason.contains("no engine holds it")));
}

/// Guards against loading a model that no plan names, whose shape is unknown, or before the
/// accounts and plans are known.
#[parameterized(
    of_unknown_shape = { &["x"], true },
    unnamed = { &[], true },
    without_lists = { &["m"], false },
)]
fn model_is_not_loaded_without_need(named: &[&str], has_lists: bool) {
    let mut world = OrderHarness::new(
        &[("e1", "a", 0, ""), ("e2", "b", 0, "")],
        order_settings("m", &[], 1),
    );
    world.lists = has_lists.then(|| lists_naming(named));
    world.run(60_000);
    assert!(world.sent.is_empty(), "{:?}", world.sent);
}

/// Guards against unloading a model from an engine that runs requests, or from the last engine that
/// holds a model in use.
#[parameterized(
    busy = { &[("d1", "a", 0, "idle"), ("d2", "b", 0, "idle"), ("d3", "b", 1, "idle")], &["d2"] },
    dispatched_since_the_report = {
        &[("d1", "a", 0, "idle"), ("held", "b", 0, "idle"), ("d3", "b", 1, "idle")], &[]
    },
    last = { &[("d1", "a", 0, "idle")], &[] },
    unnamed_and_idle = { &[("d1", "a", 0, "gone")], &["d1"] },
    unnamed_and_in_use = { &[("d1", "a", 0, "gone"), ("d2", "b", 1, "gone")], &[] },
)]
fn only_idle_engines_with_replacements_unload_a_model(
    donors: &[(&str, &str, u32, &str)],
    expected: &[&str],
) {
    let mut engines = vec![("e1", "a", 20, "m"), ("e2", "b", 20, "m")];
    engines.extend(donors);
    let mut world = OrderHarness::new(&engines, OrderSettings::default());
    world.targets_in_use.insert("held".into());
    world.run(60_000);
    let mut targets = world.targets();
    targets.dedup();
    assert_eq!(targets, expected);
}

/// Guards against two owners that unload the same model from two engines at once, because no report
/// shows the first order yet.
#[test]
fn second_owner_waits_for_the_first_unload_of_a_model() {
    let engines = [
        ("e1", "a", 20, "m"),
        ("e2", "b", 20, "m"),
        ("d1", "a", 0, "idle"),
        ("d2", "b", 0, "idle"),
        ("d3", "b", 0, "idle"),
    ];
    let mut world = OrderHarness::new(&engines, OrderSettings::default());
    world.run(20_000);
    let first = world.targets()[0].to_string();
    // The second owner knows neither the order nor the engine that received it.
    world.replace_owner();
    world.mesh.listings.retain(|listing| *listing.id != *first);
    world.mesh.listings.push(support::engine_listing("d4", "b"));
    let report = world.mesh.reports["d3"].clone();
    world.mesh.reports.insert("d4".into(), report);
    world.run(15_000);
    assert_eq!(world.targets(), [first.as_str()]);
    world.run(60_000);
    assert!(world.targets().len() > 1);
}

/// Guards against adapters that are never updated, or updated on all engines at once.
#[test]
fn adapters_change_one_engine_at_a_time() {
    let engines = [
        ("e1", "a", 0, "m"),
        ("e2", "b", 0, "m"),
        ("e3", "b", 0, "m"),
        ("e4", "a", 0, "m"),
    ];
    let mut world = OrderHarness::new(&engines, order_settings("m", &["v2"], 1));
    world.run(25_000);
    assert_eq!(world.sent.len(), 1);
    for _ in 0..30 {
        world.apply_sent_orders();
        world.run(10_000);
    }
    let expected = LoadedModel {
        adapters: vec!["v2".into()],
        ..loaded("m")
    };
    let held: Vec<_> = ordered_models(&world).into_values().collect();
    assert_eq!(held, vec![vec![expected]; 4]);
    assert!(world.context.now > ms(60_000));
}
