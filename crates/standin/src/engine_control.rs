use super::*;

impl Engine {
    pub(crate) fn cancel(&self, request: &Request) -> Response {
        let cancel: CancelRequest = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(cancel) => cancel,
        };
        let mut state = lock(&self.state);
        let control = state.controls.get(&cancel.request);
        if let Some(control) = control
            && control.attempt <= cancel.attempt
        {
            control.canceled.send_replace(true);
        }
        state.streams.retain(|(request, attempt), _| {
            *request != cancel.request || *attempt > cancel.attempt
        });
        wire::empty(StatusCode::NO_CONTENT)
    }

    pub(crate) fn set_priority(&self, request: &Request) -> Response {
        let change: PriorityRequest = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(change) => change,
        };
        match lock(&self.state).controls.get(&change.request) {
            Some(control) if control.attempt == change.attempt => {
                control.priority.send_replace(change.priority);
                wire::empty(StatusCode::NO_CONTENT)
            }
            _ => wire::empty(StatusCode::NOT_FOUND),
        }
    }

    pub(crate) fn export_kv(&self, request: &Request) -> Response {
        let export: KvRequest = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(export) => export,
        };
        let state = lock(&self.state);
        let stream = (export.request.clone(), export.attempt);
        let (Some((_, token_count)), Some(model)) =
            (state.streams.get(&stream), state.models.first())
        else {
            return wire::empty(StatusCode::NOT_FOUND);
        };
        let cache = KvCache {
            data: format!("kv of {} tokens", *token_count).into(),
            layers: model.layers,
            model: model.model.clone(),
            request: export.request,
            token_count: *token_count,
        };
        wire::json(StatusCode::OK, &cache)
    }

    pub(crate) fn import_kv(&self, request: &Request) -> Response {
        let cache: KvCache = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(cache) => cache,
        };
        let mut state = lock(&self.state);
        let fits = state
            .models
            .iter()
            .any(|held| held.model == cache.model && held.layers == cache.layers);
        if !fits {
            return wire::empty(StatusCode::CONFLICT);
        }
        state.imported.insert(cache.request, cache.token_count);
        wire::empty(StatusCode::NO_CONTENT)
    }

    pub(crate) fn accept_order(self: &Arc<Self>, request: &Request) -> Response {
        let order: Order = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(order) => order,
        };
        let mut state = lock(&self.state);
        if self.settings.checks_fence && order.fence < state.accepted_fence {
            let message = format!("an order with fence {} was accepted", state.accepted_fence);
            return Fault::new(StatusCode::CONFLICT, "old_fence", message).into_response();
        }
        state.accepted_fence = order.fence;
        state.order_count += 1;
        let engine = self.clone();
        tokio::spawn(engine.apply_order(order, state.order_count));
        wire::empty(StatusCode::ACCEPTED)
    }

    /// Loads the models that are missing, then replaces the models held by those of the order. Does
    /// nothing if a newer order was accepted meanwhile.
    async fn apply_order(self: Arc<Self>, order: Order, number: u64) {
        for model in &order.wanted.models {
            if !lock(&self.state).models.contains(model) {
                sleep(Duration::from_millis(self.settings.weight_load_ms)).await;
            }
        }
        let mut state = lock(&self.state);
        if state.order_count != number {
            return;
        }
        state.applied_fence = order.fence;
        state.models = order.wanted.models;
    }
}
