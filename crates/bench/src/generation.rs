use super::*;

/// Time of the first stage to compute the key-value cache of one prompt token.
pub(crate) const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(100);

/// Fraction of the prefill time that remains if the prefix of the prompt is cached.
pub(crate) const CACHED_PREFILL_FRACTION: f64 = 0.1;

/// Tokens between two `Event::Progressed` events to the instance.
const PROGRESS_TOKENS: u32 = 16;

/// Delay before a caller connects to another instance after its own failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

impl Simulation {
    /// Index in `engines` of the engine with this id.
    pub(crate) fn engine_index(&self, target: &TargetId) -> Option<usize> {
        let index: usize = target.strip_prefix("engine-")?.parse().ok()?;
        (index < self.engines.len()).then_some(index)
    }

    /// Indexes in `engines` of the stages of a route, in their order.
    fn stage_indexes(&self, route: &Route) -> Vec<usize> {
        route
            .stages
            .iter()
            .filter_map(|stage| self.engine_index(&stage.target))
            .collect()
    }

    /// Sets the current attempt of a request; dispatches and tokens of earlier attempts are then
    /// ignored.
    pub(crate) fn start_attempt(&mut self, attempt: Attempt, request: &RequestId) {
        if let Some(request_state) = self.active.get_mut(request) {
            request_state.attempt = attempt;
        }
    }

    pub(crate) fn dispatch_arrived(
        &mut self,
        attempt: Attempt,
        priority: Priority,
        request: &RequestId,
        route: Route,
    ) {
        let indexes = self.stage_indexes(&route);
        let dead_index = indexes
            .iter()
            .find(|index| !self.engines[**index].alive)
            .copied();
        let Some(request_state) = self.active.get_mut(request) else {
            return;
        };
        if request_state.attempt != attempt {
            return;
        }
        if let Some(dead_index) = dead_index {
            let target = self.engines[dead_index].listing.id.clone();
            self.attempt_failed(request, FailureKind::Unreachable, target);
            return;
        }
        request_state.phase = RequestPhase::Waiting;
        request_state.priority = priority;
        request_state.route = Some(route.clone());
        request_state.has_kv_cache = false;
        let request = request.clone();
        self.engines[indexes[0]].waiting.push(WaitingRequest {
            attempt,
            priority,
            request,
            route,
        });
        self.start_waiting_requests(indexes[0]);
    }

    /// Position of the request that starts next among those that wait at a first stage: of those
    /// with a free slot at every stage, the one with the highest priority, and among equal
    /// priorities the oldest. A request whose later stage is full does not block the others.
    fn next_to_start(&self, first_stage: usize) -> Option<usize> {
        let engine = &self.engines[first_stage];
        if !engine.has_slot() {
            return None;
        }
        let mut best: Option<usize> = None;
        for (position, waiting) in engine.waiting.iter().enumerate() {
            if best.is_some_and(|best| waiting.priority <= engine.waiting[best].priority) {
                continue;
            }
            let mut stages = self.stage_indexes(&waiting.route).into_iter();
            if stages.all(|index| self.engines[index].has_slot()) {
                best = Some(position);
            }
        }
        best
    }

    /// Starts requests that wait at a first stage, as long as there are free slots for them.
    fn start_waiting_requests(&mut self, first_stage: usize) {
        while let Some(position) = self.next_to_start(first_stage) {
            let indexes = self.stage_indexes(&self.engines[first_stage].waiting[position].route);
            let waiting = self.engines[first_stage].waiting.remove(position);
            for index in &indexes {
                self.engines[*index].running.insert(waiting.request.clone());
            }
            let delay = self.first_token_delay(&waiting.request, &indexes);
            let Some(request_state) = self.active.get_mut(&waiting.request) else {
                continue;
            };
            request_state.phase = RequestPhase::Running;
            request_state.has_kv_cache = true;
            let (attempt, request) = (waiting.attempt, waiting.request);
            self.schedule(delay, SimulationEvent::TokenProduced { attempt, request });
        }
    }

    /// Time from getting the slots to the next token: includes the prefill unless the engines have
    /// the key-value cache of the request.
    fn first_token_delay(&mut self, request: &RequestId, indexes: &[usize]) -> Duration {
        let interval = self.token_interval(indexes);
        let Some(request_state) = self.active.get(request) else {
            return interval;
        };
        if request_state.has_kv_cache {
            return interval;
        }
        let prefix = self.arrivals[request_state.arrival_index].prefix;
        let tokens = self.scenario.prompt_tokens() + request_state.delivered_tokens;
        let mut prefill = PREFILL_TIME_PER_TOKEN * tokens;
        if self.engines[indexes[0]].touch_prefix(&[prefix]) {
            prefill = prefill.mul_f64(CACHED_PREFILL_FRACTION);
        }
        prefill + interval
    }

    /// Time between two tokens of a request that runs over these stages.
    fn token_interval(&self, indexes: &[usize]) -> Duration {
        let mut total = Duration::ZERO;
        for index in indexes {
            total += self.engines[*index].current_step_time() + LINK_LATENCY;
        }
        total
    }

    /// Handles a token that reached the caller, and schedules the next one or ends the request.
    pub(crate) fn token_arrived(&mut self, attempt: Attempt, request: &RequestId) {
        let now = self.now;
        let Some(request_state) = self.active.get_mut(request) else {
            return;
        };
        if request_state.attempt != attempt || request_state.phase != RequestPhase::Running {
            return;
        }
        let Some(route) = request_state.route.clone() else {
            return;
        };
        let gap = request_state
            .first_token_at
            .map(|_| now - request_state.last_token_at);
        request_state.first_token_at.get_or_insert(now);
        request_state.last_token_at = now;
        request_state.delivered_tokens += 1;
        let (delivered_tokens, instance) = (request_state.delivered_tokens, request_state.instance);
        self.results.record_token(now, gap);
        for index in self.stage_indexes(&route) {
            self.engines[index].token_count += 1;
        }
        if delivered_tokens >= self.answer_tokens(request) {
            self.complete(request, &route);
            return;
        }
        if delivered_tokens == 1 || delivered_tokens.is_multiple_of(PROGRESS_TOKENS) {
            let request = request.clone();
            self.send_event(
                LINK_LATENCY,
                instance,
                Event::Progressed {
                    delivered_tokens,
                    request,
                },
            );
        }
        self.continue_or_yield(attempt, request, &route);
    }

    /// Schedules the next token, or frees the slots if a request with a higher priority waits at
    /// the first stage.
    fn continue_or_yield(&mut self, attempt: Attempt, request: &RequestId, route: &Route) {
        let indexes = self.stage_indexes(route);
        let first_stage = indexes[0];
        let Some(request_state) = self.active.get_mut(request) else {
            return;
        };
        let priority = request_state.priority;
        let engine = &self.engines[first_stage];
        let is_outranked = engine
            .next_waiting()
            .is_some_and(|position| engine.waiting[position].priority > priority);
        if !is_outranked {
            let delay = self.token_interval(&indexes);
            self.schedule(
                delay,
                SimulationEvent::TokenProduced {
                    attempt,
                    request: request.clone(),
                },
            );
            return;
        }
        request_state.phase = RequestPhase::Waiting;
        let (request, route) = (request.clone(), route.clone());
        for index in &indexes {
            self.engines[*index].running.remove(&request);
        }
        self.engines[first_stage].waiting.push(WaitingRequest {
            attempt,
            priority,
            request,
            route,
        });
        self.fill_free_slots();
    }

    /// Length of the answer of a request, in tokens; 0 if the request has ended or is a call.
    fn answer_tokens(&self, request: &RequestId) -> u32 {
        let arrival_index = self
            .active
            .get(request)
            .map(|request_state| request_state.arrival_index);
        match arrival_index.map(|arrival_index| self.arrivals[arrival_index].request_kind) {
            Some(RequestKind::Prompt { answer_tokens, .. }) => answer_tokens,
            _ => 0,
        }
    }

    fn complete(&mut self, request: &RequestId, route: &Route) {
        self.release(request, route);
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        let (attempt, token_count) = (request_state.attempt, request_state.delivered_tokens);
        let event = Event::GenerateCompleted {
            attempt,
            request: request.clone(),
            token_count,
        };
        self.send_event(LINK_LATENCY, request_state.instance, event);
        self.record_end(
            request_state.arrival_index,
            true,
            request_state.first_token_at,
        );
    }

    /// Frees the slots and queue positions that a request holds at the engines of a route.
    pub(crate) fn release(&mut self, request: &RequestId, route: &Route) {
        for index in self.stage_indexes(route) {
            self.engines[index].running.remove(request);
            self.engines[index]
                .waiting
                .retain(|waiting| waiting.request != *request);
        }
        if let Some(request_state) = self.active.get_mut(request) {
            request_state.phase = RequestPhase::Instance;
            request_state.route = None;
        }
        self.fill_free_slots();
    }

    /// Starts waiting requests at all first stages.
    fn fill_free_slots(&mut self) {
        for index in 0..self.engines.len() {
            if !self.engines[index].waiting.is_empty() {
                self.start_waiting_requests(index);
            }
        }
    }

    pub(crate) fn set_priority(&mut self, request: &RequestId, priority: Priority) {
        let Some(request_state) = self.active.get_mut(request) else {
            return;
        };
        request_state.priority = priority;
        let first = request_state
            .route
            .as_ref()
            .and_then(|route| route.stages.first())
            .cloned();
        let Some(index) = first.and_then(|stage| self.engine_index(&stage.target)) else {
            return;
        };
        for waiting in &mut self.engines[index].waiting {
            if waiting.request == *request {
                waiting.priority = priority;
            }
        }
    }

    /// Tells the instance of a request that its current attempt failed at `target`.
    pub(crate) fn attempt_failed(
        &mut self,
        request: &RequestId,
        kind: FailureKind,
        target: TargetId,
    ) {
        let Some(request_state) = self.active.get(request) else {
            return;
        };
        let failure = AttemptFailure {
            attempt: request_state.attempt,
            kind,
            target,
        };
        let (delivered_tokens, instance) = (request_state.delivered_tokens, request_state.instance);
        let request = request.clone();
        let event = Event::AttemptFailed {
            delivered_tokens,
            failure,
            request,
        };
        self.send_event(LINK_LATENCY, instance, event);
    }

    /// Frees the slots and queue positions that a request holds on its current route.
    fn release_current(&mut self, request: &RequestId) {
        let active = self.active.get(request);
        if let Some(route) = active.and_then(|active| active.route.clone()) {
            self.release(request, &route);
        }
    }

    /// Stops an engine; the attempts of all requests routed over it fail.
    pub(crate) fn kill_engine(&mut self, index: usize) {
        if !self.engines[index].alive {
            return;
        }
        self.engines[index].alive = false;
        let target = self.engines[index].listing.id.clone();
        let mut affected = Vec::new();
        for (request, request_state) in &self.active {
            let route = request_state.route.iter().flat_map(|route| &route.stages);
            if route.into_iter().any(|stage| stage.target == target) {
                affected.push(request.clone());
            }
        }
        for request in affected {
            self.release_current(&request);
            self.attempt_failed(&request, FailureKind::Broken, target.clone());
        }
    }

    /// Stops an instance; the callers of its requests submit them again elsewhere.
    pub(crate) fn kill_instance(&mut self, index: usize) {
        if self.instances[index].take().is_none() {
            return;
        }
        let mut affected = Vec::new();
        for (request, request_state) in &self.active {
            if request_state.instance == index {
                affected.push(request.clone());
            }
        }
        for request in affected {
            self.release_current(&request);
            let Some(request_state) = self.active.remove(&request) else {
                continue;
            };
            // The naive router keeps no journal, so its callers start from the first token again.
            let delivered_tokens = match self.kind {
                PolicyKind::Naive => 0,
                PolicyKind::Shipped => request_state.delivered_tokens,
            };
            let arrival_index = request_state.arrival_index;
            self.schedule(
                RECONNECT_DELAY,
                SimulationEvent::Submitted {
                    arrival_index,
                    delivered_tokens,
                },
            );
        }
    }
}
