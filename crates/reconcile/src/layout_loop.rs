use super::*;

/// Time between checks of the layout.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);

/// Sends orders to engines until they hold the planned layout, while this instance leads.
pub async fn reconcile_layout(
    router: Arc<Router>,
    engines: Arc<dyn Engines>,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut reconcilers: HashMap<Arc<str>, LayoutReconciler> = HashMap::new();
    loop {
        sleep(PLAN_INTERVAL).await;
        let Some(catalog) = router.catalog().catalog().cloned() else {
            continue;
        };
        if lock(&leadership).fence(clock::now()).is_none() {
            reconcilers.clear();
            continue;
        }
        let mut targets = shared.targets();
        router.fleet().mark_leaving(&mut targets);
        for service in catalog.services() {
            let Some(profile) = service.engine.as_deref() else {
                continue;
            };
            if profile.layer_count == 0 {
                continue;
            }
            let reconciler = reconcilers.entry(service.name.clone()).or_default();
            let load = FirstStageLoad {
                limits_per_s: router.fleet().rate_limits(),
                requests_per_s: router.requests_per_s(&service.name),
            };
            let now = clock::now();
            let mut orders = reconciler.orders(now, &service.name, profile, &targets, &load);
            orders.retain(|order| {
                let engine = &order.placement.engine;
                !router.fleet().is_paused(clock::now(), engine)
            });
            let sends = orders
                .iter()
                .map(|order| send_order(&*engines, order, &leadership));
            let results = futures::future::join_all(sends).await;
            for (order, outcome) in orders.iter().zip(results) {
                record_outcome(reconciler, &order.placement, outcome);
            }
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderOutcome {
    /// The engine accepted the order, or the answer was lost.
    MayBeAccepted,
    /// The engine is still busy with another order, or this instance may no longer send any.
    NotSent,
    /// The engine refused the order, or does not tell its state.
    Refused,
}

fn record_outcome(reconciler: &mut LayoutReconciler, placement: &Placement, outcome: OrderOutcome) {
    let now = clock::now();
    match outcome {
        OrderOutcome::MayBeAccepted => reconciler.record_order(now, placement),
        OrderOutcome::NotSent => {}
        OrderOutcome::Refused => reconciler.record_refusal(now, &placement.engine),
    }
}

/// Sends one order.
async fn send_order(
    engines: &dyn Engines,
    order: &Order,
    leadership: &Mutex<Leadership>,
) -> OrderOutcome {
    let Order { address, placement } = order;
    let state = match engines.state(*address).await {
        Err(error) => {
            tracing::info!(target = &*placement.engine, %error, "cannot read the engine state");
            return OrderOutcome::Refused;
        }
        Ok(state) => state,
    };
    if state.is_busy {
        return OrderOutcome::NotSent;
    }
    let Some(fence) = lock(leadership).fence(clock::now()) else {
        return OrderOutcome::NotSent;
    };
    let reply = engines.place(*address, placement.range, fence, state.order_count);
    let reply = reply.await;
    let outcome = match &reply {
        Err(_) => "unknown",
        Ok(OrderReply::Accepted) => "accepted",
        Ok(OrderReply::Conflict) => "conflict",
        Ok(OrderReply::Fenced) => "fenced",
    };
    tracing::info!(
        target = &*placement.engine,
        range = %placement.range,
        fence,
        orders = state.order_count,
        outcome,
        "placement order sent"
    );
    match reply {
        Err(_) | Ok(OrderReply::Accepted) => OrderOutcome::MayBeAccepted,
        Ok(OrderReply::Conflict) => OrderOutcome::Refused,
        Ok(OrderReply::Fenced) => {
            lock(leadership).record_fenced();
            OrderOutcome::NotSent
        }
    }
}
