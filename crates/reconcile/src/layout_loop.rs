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
            for (order, may_be_accepted) in orders.iter().zip(results) {
                if may_be_accepted {
                    reconciler.record_order(clock::now(), &order.placement);
                }
            }
        }
    }
}

/// Sends one order. Returns whether the engine accepted it or may have accepted it.
async fn send_order(engines: &dyn Engines, order: &Order, leadership: &Mutex<Leadership>) -> bool {
    let Order { address, placement } = order;
    let state = match engines.state(*address).await {
        Err(error) => {
            tracing::info!(target = &*placement.engine, %error, "cannot read the engine state");
            return false;
        }
        Ok(state) => state,
    };
    if state.is_busy {
        return false;
    }
    let Some(fence) = lock(leadership).fence(clock::now()) else {
        return false;
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
        Err(_) | Ok(OrderReply::Accepted) => true,
        Ok(OrderReply::Conflict) => false,
        Ok(OrderReply::Fenced) => {
            lock(leadership).record_fenced();
            false
        }
    }
}
