//! Guards against orders that are repeated, conflict with each other, or are planned from half of
//! the engines.

use {
    catalog::{EngineProfile, HardwareKind},
    fleet::Target,
    layout::{LayerRange, LayoutSettings},
    reconcile::{FirstStageLoad, LayoutReconciler, Order},
    std::time::Duration,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn profile() -> EngineProfile {
    EngineProfile {
        activation_bytes: 20_000.0,
        context_ms_per_thousand: 0.0,
        kinds: vec![HardwareKind {
            memory_mb: 30_000.0,
            name: "card".into(),
            pace: 1.0,
            read_factor: 1.0,
        }],
        kv_bytes_per_token: 400_000.0,
        layer_count: 20,
        layer_mb: 1_750.0,
        pipe_mbps: 10_000.0,
        read_tokens_per_s: 200_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.0,
        usual_answer_tokens: 100.0,
        usual_prompt_tokens: 500.0,
    }
}

fn engines(count: u16) -> Vec<Target> {
    let engine = |index: u16| Target {
        address: ([10, 0, 0, 1], 8_000 + index).into(),
        domain: "a".into(),
        hardware: Some("card".into()),
        held: None,
        id: format!("e{index}").into(),
        is_leaving: false,
        service: "model".into(),
        incarnation: 0,
        slot_count: 64,
    };
    (0..count).map(engine).collect()
}

fn reconciler() -> LayoutReconciler {
    LayoutReconciler::new(LayoutSettings::default())
}

fn orders_after_settling(reconciler: &mut LayoutReconciler, targets: &[Target]) -> Vec<Order> {
    reconciler.orders(
        at(0),
        "model",
        &profile(),
        targets,
        &FirstStageLoad::default(),
    );
    reconciler.orders(
        at(1_000),
        "model",
        &profile(),
        targets,
        &FirstStageLoad::default(),
    )
}

/// Applies orders to the targets as the engines would.
fn apply_orders(orders: &[Order], targets: &mut [Target]) {
    for order in orders {
        for target in targets.iter_mut() {
            if target.id == order.placement.engine {
                target.held = Some(order.placement.range);
            }
        }
    }
}

#[test]
fn engines_that_start_one_after_another_are_planned_together() {
    let mut reconciler = reconciler();
    for count in 1..6 {
        let now = at(u64::from(count) * 400);
        let orders = reconciler.orders(
            now,
            "model",
            &profile(),
            &engines(count),
            &FirstStageLoad::default(),
        );
        assert_eq!(orders, [], "planned with {count} engines of 5");
    }
    assert!(
        !reconciler
            .orders(
                at(3_000),
                "model",
                &profile(),
                &engines(5),
                &FirstStageLoad::default()
            )
            .is_empty()
    );
}

#[test]
fn order_is_not_repeated_while_its_effect_is_not_listed() {
    let (mut reconciler, targets) = (reconciler(), engines(4));
    let orders = orders_after_settling(&mut reconciler, &targets);
    assert!(!orders.is_empty());
    for order in &orders {
        reconciler.record_order(at(1_000), &order.placement);
    }
    assert_eq!(
        reconciler.orders(
            at(1_300),
            "model",
            &profile(),
            &targets,
            &FirstStageLoad::default()
        ),
        []
    );
}

#[test]
fn order_without_effect_is_sent_again() {
    let (mut reconciler, targets) = (reconciler(), engines(4));
    let orders = orders_after_settling(&mut reconciler, &targets);
    for order in &orders {
        reconciler.record_order(at(1_000), &order.placement);
    }
    assert_eq!(
        reconciler.orders(
            at(8_000),
            "model",
            &profile(),
            &targets,
            &FirstStageLoad::default()
        ),
        orders
    );
}

#[test]
fn leaving_engines_are_not_ordered() {
    let mut targets = engines(4);
    targets[0].is_leaving = true;
    let orders = orders_after_settling(&mut reconciler(), &targets);
    assert!(orders.iter().all(|order| &*order.placement.engine != "e0"));
}

#[test]
fn layers_of_a_leaving_engine_move_before_it_is_removed() {
    let mut reconciler = reconciler();
    let mut targets = engines(4);
    let orders = orders_after_settling(&mut reconciler, &targets);
    apply_orders(&orders, &mut targets);
    assert_eq!(orders_after_settling(&mut reconciler, &targets), []);
    targets[0].is_leaving = true;
    orders_after_settling(&mut reconciler, &targets);
    let mut covered = [false; 20];
    let orders = reconciler.orders(
        at(3_000),
        "model",
        &profile(),
        &targets,
        &FirstStageLoad::default(),
    );
    apply_orders(&orders, &mut targets);
    for range in targets[1..].iter().filter_map(|one: &Target| one.held) {
        let range: LayerRange = range;
        covered[range.start as usize..range.end as usize].fill(true);
    }
    assert!(covered.iter().all(|is_covered| *is_covered));
}

/// Engines that were replaced one after another stayed empty for four seconds, because each change
/// delayed the plan for all of them.
#[test]
fn consecutive_replacements_do_not_delay_loads() {
    let mut reconciler = reconciler();
    let mut targets = engines(4);
    let orders = orders_after_settling(&mut reconciler, &targets);
    apply_orders(&orders, &mut targets);
    assert_eq!(orders_after_settling(&mut reconciler, &targets), []);
    let mut first_order = None;
    for step in 0..20 {
        let now = 10_000 + step * 150;
        let mut added = engines(30).remove(5 + step as usize);
        added.id = format!("new{step}").into();
        targets.push(added);
        let orders = reconciler.orders(
            at(now),
            "model",
            &profile(),
            &targets,
            &FirstStageLoad::default(),
        );
        if !orders.is_empty() && first_order.is_none() {
            first_order = Some(now);
        }
    }
    let first_order = first_order.expect("no order was sent while engines were added");
    assert!(
        first_order <= 11_000,
        "first order only at {first_order} ms"
    );
}

/// Guards against callers that are refused because each engine with the first layer limits its requests, and
/// against moving engines for a limit that lasts only for moments.
#[test]
fn another_first_stage_is_placed_while_limits_stay_too_low() {
    let mut reconciler = reconciler();
    let mut targets = engines(6);
    let orders = orders_after_settling(&mut reconciler, &targets);
    apply_orders(&orders, &mut targets);
    let is_first = |target: &&Target| target.held.is_some_and(|held| held.contains(0));
    let limits = targets.iter().filter(is_first);
    let low = FirstStageLoad {
        limits_per_s: limits.map(|target| (target.id.clone(), 2.0)).collect(),
        requests_per_s: 50.0,
    };
    let sufficient = FirstStageLoad {
        requests_per_s: 1.0,
        ..low.clone()
    };
    let mut orders =
        |ms, load: &FirstStageLoad| reconciler.orders(at(ms), "model", &profile(), &targets, load);
    assert_eq!(orders(20_000, &sufficient), []);
    assert_eq!(orders(20_300, &low), [], "too early");
    assert_eq!(orders(20_600, &sufficient), []);
    assert_eq!(
        orders(20_900, &low),
        [],
        "the limit was sufficient in between"
    );
    let placed = orders(22_000, &low);
    assert_eq!(placed.len(), 1, "{placed:?}");
    let placement = &placed[0].placement;
    assert!(placement.range.contains(0));
    assert!(!low.limits_per_s.contains_key(&placement.engine));
}

/// Guards against a leader that ends because an engine reports layers that the model does not have.
#[test]
fn engine_with_layers_beyond_the_model_ends_no_leader() {
    for beyond in [
        LayerRange::new(15, 30),
        LayerRange::new(25, 30),
        LayerRange::new(0, 1_000),
    ] {
        let mut reconciler = reconciler();
        let mut targets = engines(4);
        targets[0].held = beyond;
        for target in &mut targets[1..] {
            target.held = LayerRange::new(0, 10);
        }
        let load = FirstStageLoad::default();
        for ms in (10_000..20_000).step_by(300) {
            let orders = reconciler.orders(at(ms), "model", &profile(), &targets, &load);
            apply_orders(&orders, &mut targets);
        }
        let mut covered = [false; 20];
        for range in targets.iter().filter_map(|one| one.held) {
            let end = (range.end as usize).min(20);
            covered[(range.start as usize).min(end)..end].fill(true);
        }
        assert!(
            covered.iter().all(|is_covered| *is_covered),
            "with {beyond:?}"
        );
    }
}
