use super::*;

/// Time after its last step for which a stream counts as running. A later stage learns of a stream
/// only through its steps.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Fake model engine that holds a range of layers.
#[derive(Debug)]
pub struct Engine {
    incarnation: Incarnation,
    pub(crate) lifecycle: Arc<Lifecycle>,
    stage_connections: StageConnections,
    pub(crate) settings: EngineSettings,
    pub(crate) slots: Arc<Slots>,
    pub(crate) state: Mutex<EngineState>,
    /// Limits the forwarded steps that run at the same time.
    step_permits: Semaphore,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) cache: PrefixCache,
    /// Attempts for which this engine is the first stage, by request.
    pub(crate) controls: BTreeMap<RequestId, Arc<AttemptControl>>,
    pub(crate) faults: EngineFaults,
    /// Fence of the newest order that was applied.
    pub(crate) applied_fence: Fence,
    /// Number of tokens in the imported KV cache of each request.
    pub(crate) imported: BTreeMap<RequestId, u32>,
    pub(crate) log: EngineLog,
    pub(crate) models: Vec<LoadedModel>,
    /// Fence of the newest order that was accepted, whether or not it is applied yet.
    pub(crate) accepted_fence: Fence,
    /// Number of orders accepted so far. A load of weights has no effect once a newer order was
    /// accepted.
    pub(crate) order_count: u64,
    pub(crate) rate: RateCounter,
    /// Time of the last step and number of tokens of each attempt, for KV export and the drain.
    pub(crate) streams: BTreeMap<(RequestId, Attempt), (Instant, u32)>,
}

impl Engine {
    /// Starts a fake engine in this process.
    ///
    /// # Errors
    ///
    /// Returns `Error::Listen` when the address cannot be bound.
    pub async fn start(settings: EngineSettings) -> Result<FakeServer, Error> {
        let (address, limits) = (settings.place.address, settings.limits);
        let lag = Duration::from_millis(settings.report_lag_ms);
        let engine = Arc::new(Self {
            incarnation: settings.place.incarnation(),
            lifecycle: Lifecycle::new(),
            stage_connections: StageConnections::default(),
            slots: Slots::new(settings.slot_count, lag),
            state: Mutex::new(EngineState::new(&settings)),
            step_permits: Semaphore::new(usize::try_from(settings.slot_count).unwrap_or(1)),
            settings,
        });
        FakeServer::launch(address, limits, |address| engine.parts(address)).await
    }

    fn parts(self: Arc<Self>, address: SocketAddr) -> ServerParts {
        let role = ListingRole::Engine {
            accelerator: self.settings.accelerator.clone(),
            checks_fence: self.settings.checks_fence,
        };
        let place = &self.settings.place;
        ServerParts {
            drained: Box::pin(self.clone().wait_drained()),
            lifecycle: self.lifecycle.clone(),
            registration: Some(Registration::new(place, address, self.incarnation, role)),
            handler: self,
        }
    }

    /// Waits for the grace time, and then until no attempt runs here as first stage and no step was
    /// forwarded here for the longer of the grace time and `STREAM_IDLE_TIMEOUT`.
    async fn wait_drained(self: Arc<Self>) {
        let grace = Duration::from_millis(self.settings.place.leave_grace_ms);
        sleep(grace).await;
        loop {
            let is_idle = {
                let mut state = lock(&self.state);
                state.remove_idle_streams(grace.max(STREAM_IDLE_TIMEOUT));
                state.controls.is_empty() && state.streams.is_empty()
            };
            if is_idle {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn respond(self: Arc<Self>, request: Request) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/log") => return wire::json(StatusCode::OK, &lock(&self.state).log),
            (&Method::PUT, "/faults") => return self.set_faults(&request),
            _ => {}
        }
        self.wait_unfrozen().await;
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/events") => self.events(&request),
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::POST, "/v1/cancel") => self.cancel(&request),
            (&Method::POST, "/v1/forward") => self.forward(&request).await,
            (&Method::POST, "/v1/generate") => self.generate(&request),
            (&Method::POST, "/v1/kv/export") => self.export_kv(&request),
            (&Method::POST, "/v1/kv/import") => self.import_kv(&request),
            (&Method::POST, "/v1/orders") => self.accept_order(&request),
            (&Method::POST, "/v1/priority") => self.set_priority(&request),
            _ => not_found(&request),
        }
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        lock(&self.state).faults.clone()
    }

    /// Waits while the `frozen` fault is set.
    async fn wait_unfrozen(&self) {
        while lock(&self.state).faults.frozen {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn set_faults(&self, request: &Request) -> Response {
        match request.json() {
            Err(error) => bad_request(&error),
            Ok(faults) => {
                lock(&self.state).faults = faults;
                wire::empty(StatusCode::NO_CONTENT)
            }
        }
    }

    fn generate(self: &Arc<Self>, request: &Request) -> Response {
        let request: GenerateRequest = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(request) => request,
        };
        if let Some(refusal) = self.refusal_response(&request) {
            return refusal;
        }
        let control = Arc::new(AttemptControl {
            attempt: request.attempt,
            canceled: watch::Sender::new(false),
            priority: watch::Sender::new(request.priority),
        });
        let previous = lock(&self.state)
            .controls
            .insert(request.request.clone(), control.clone());
        if let Some(previous) = previous {
            previous.canceled.send_replace(true);
        }
        let (sender, response) = wire::stream(StatusCode::OK, "application/x-ndjson");
        let generation = Generation {
            control,
            engine: self.clone(),
            request,
        };
        tokio::spawn(generation.run(sender));
        response
    }

    /// Returns the refusal of a request that cannot be accepted, before any of it runs.
    fn refusal_response(&self, request: &GenerateRequest) -> Option<Response> {
        let state = lock(&self.state);
        if state.faults.refuse {
            return Some(service_unavailable(
                "refused",
                "a fault makes this engine refuse",
            ));
        }
        let grace_ms = self.settings.place.leave_grace_ms;
        if self
            .lifecycle
            .leaving_for_ms()
            .is_some_and(|ms| ms > grace_ms)
        {
            return Some(service_unavailable(
                "leaving",
                "this engine is about to stop",
            ));
        }
        if !request.route.is_complete() {
            return Some(wire::empty(StatusCode::BAD_REQUEST));
        }
        if !state.holds_layers(&request.model, &request.route, 0) {
            return Some(service_unavailable(
                "not_held",
                "this engine does not hold these layers",
            ));
        }
        let current = state.controls.get(&request.request);
        if current.is_some_and(|control| control.attempt >= request.attempt) {
            return Some(service_unavailable(
                "old_attempt",
                "a newer attempt is running",
            ));
        }
        if self.slots.level().waiting_count >= self.settings.queue_count {
            return Some(wire::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        None
    }

    /// Removes an attempt that ended, unless a newer one of the same request has replaced it.
    pub(crate) fn remove_attempt(&self, request: &GenerateRequest, control: &Arc<AttemptControl>) {
        let mut state = lock(&self.state);
        let current = state.controls.get(&request.request);
        if current.is_some_and(|current| Arc::ptr_eq(current, control)) {
            state.controls.remove(&request.request);
        }
    }

    async fn forward(&self, request: &Request) -> Response {
        let step: ForwardRequest = match request.json() {
            Err(error) => return bad_request(&error),
            Ok(step) => step,
        };
        if !lock(&self.state).holds_layers(&step.model, &step.route, step.position) {
            return service_unavailable("not_held", "this engine does not hold these layers");
        }
        let Ok(_permit) = self.step_permits.acquire().await else {
            return service_unavailable("stopped", "this engine has stopped");
        };
        let reply = self.run_step(&step).await;
        let step = step.id();
        wire::json(StatusCode::OK, &StepReply { reply, step })
    }

    /// Runs the layers of this stage for one token, then forwards the step to the next stage.
    pub(crate) async fn run_step(&self, step: &ForwardRequest) -> ForwardReply {
        let stages = &step.route.stages;
        let own_stage = &stages[step.position];
        self.wait_unfrozen().await;
        if self.causes_crash(step) {
            self.lifecycle.crash();
            std::future::pending::<()>().await;
        }
        let prefill = self.start_attempt(step);
        let busy = Duration::from_micros(self.settings.step_us) + prefill;
        sleep_unless_zero(busy.mul_f64(self.faults().slow_factor.max(0.0))).await;
        self.wait_unfrozen().await;
        lock(&self.state).record_run(step, own_stage.layers, self.settings.log_entry_count);
        let Some(next) = stages.get(step.position + 1) else {
            return ForwardReply::Ran {
                layers: vec![own_stage.layers],
                text: token_text(&step.prompt_hash, step.seed, step.index).into(),
            };
        };
        let link_us = self.settings.link_delay_us + self.faults().link_delay_us;
        sleep_unless_zero(Duration::from_micros(link_us)).await;
        let mut forwarded = step.clone();
        forwarded.position += 1;
        let limit = Duration::from_millis(self.settings.forward_limit_ms);
        let reply = self
            .stage_connections
            .forward(next.address, &forwarded, limit)
            .await;
        match reply {
            Err(kind) => ForwardReply::Failed(AttemptFailure {
                attempt: step.attempt,
                kind,
                target: next.target.clone(),
            }),
            Ok(ForwardReply::Ran { mut layers, text }) => {
                layers.insert(0, own_stage.layers);
                ForwardReply::Ran { layers, text }
            }
            Ok(failed) => failed,
        }
    }

    /// Whether the prompt of a step contains the crash marker.
    fn causes_crash(&self, step: &ForwardRequest) -> bool {
        let marker = &self.settings.crash_marker;
        let prompt = step.prefill.as_ref().map(|prefill| &prefill.prompt);
        !marker.is_empty() && prompt.is_some_and(|prompt| prompt.contains(marker))
    }

    /// Records the start of an attempt and returns the time that its prompt takes to process.
    fn start_attempt(&self, step: &ForwardRequest) -> Duration {
        let Some(prefill) = &step.prefill else {
            return Duration::ZERO;
        };
        let mut state = lock(&self.state);
        let prompt_tokens = types::estimate_tokens(&prefill.prompt) + prefill.delivered_tokens;
        let imported = state.imported.remove(&step.request).unwrap_or_default();
        let cached = state.cache.insert_prompt(Instant::now(), &prefill.prompt);
        let cached_tokens = cached.max(imported).min(prompt_tokens);
        let stream = (step.request.clone(), step.attempt);
        state
            .streams
            .insert(stream, (Instant::now(), prompt_tokens));
        state.log.starts.push_back(StartEntry {
            attempt: step.attempt,
            cached_tokens,
            left_since_ms: self.lifecycle.leaving_for_ms(),
            position: step.position,
            request: step.request.clone(),
        });
        let new_tokens = prompt_tokens - cached_tokens;
        Duration::from_micros(self.settings.prefill_us * u64::from(new_tokens))
    }

    fn load(&self) -> Response {
        let now = Instant::now();
        let level = self.slots.reported(now);
        let mut state = lock(&self.state);
        let report = LoadReport {
            age_ms: self.settings.report_lag_ms,
            cache_event_count: state.cache.event_count(),
            fence: state.applied_fence,
            incarnation: self.incarnation,
            leaving: self.lifecycle.is_leaving(),
            models: state.models.clone(),
            rate_per_s: state.rate.per_second(now),
            running_count: level
                .running_count
                .max(state.active_stream_count(STREAM_IDLE_TIMEOUT)),
            slot_count: self.settings.slot_count,
            waiting_count: level.waiting_count,
        };
        wire::json(StatusCode::OK, &report)
    }

    fn events(&self, request: &Request) -> Response {
        let after = request.parameter("after").unwrap_or("0");
        let Ok(after) = after.parse() else {
            return wire::empty(StatusCode::BAD_REQUEST);
        };
        let lag = Duration::from_millis(self.settings.cache_event_lag_ms);
        let state = lock(&self.state);
        let events = state.cache.events(Instant::now(), after, lag);
        wire::json(StatusCode::OK, &events)
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response> {
        Box::pin(self.respond(request))
    }
}
