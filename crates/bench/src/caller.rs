use super::*;

/// Time a caller needs to notice a dead address and take another one.
const ADDRESS_RETRY_DELAY: Duration = Duration::from_millis(2);

impl Simulation {
    /// A caller sends a request to one of the addresses that it knows.
    pub(crate) fn submit(&mut self, arrival: usize, delivered_tokens: u32) {
        let instance = self.random.random_range(0..self.instances.len());
        if self.instances[instance].is_none() {
            let simulation_event = SimulationEvent::Submitted {
                arrival,
                delivered_tokens,
            };
            self.schedule(ADDRESS_RETRY_DELAY, simulation_event);
            return;
        }
        let spec = self.arrivals[arrival].clone();
        let until_deadline = (spec.at + DEADLINE).saturating_sub(self.now);
        let until_timeout = self
            .caller_timeout_at(arrival, delivered_tokens)
            .saturating_sub(self.now);
        if until_deadline.is_zero() || until_timeout.is_zero() {
            self.record_end(arrival, false, None);
            return;
        }
        let request: RequestId = format!("r{arrival}-{}", self.now.as_micros()).into();
        self.active.insert(
            request.clone(),
            self.new_request_state(arrival, delivered_tokens, instance),
        );
        if until_timeout < until_deadline {
            let request = request.clone();
            self.schedule(until_timeout, SimulationEvent::CallerTimedOut { request });
        }
        let event = match spec.request_kind {
            RequestKind::Call { kind } => Event::CallSubmitted(call_submission(
                arrival,
                &spec,
                kind,
                until_deadline,
                request,
            )),
            RequestKind::Prompt { .. } => {
                let mut prompt = prompt_submission(arrival, &spec, until_deadline, request);
                prompt.delivered_tokens = delivered_tokens;
                prompt.prompt_tokens = self.scenario.prompt_tokens();
                Event::GenerateSubmitted(prompt)
            }
        };
        self.send_event(LINK_LATENCY, instance, event);
    }

    fn new_request_state(
        &self,
        arrival: usize,
        delivered_tokens: u32,
        instance: usize,
    ) -> ActiveRequest {
        ActiveRequest {
            arrival,
            attempt: 0,
            delivered_tokens,
            first_token_at: (delivered_tokens > 0).then_some(self.arrivals[arrival].at),
            instance,
            last_token_at: self.now,
            phase: RequestPhase::Instance,
            priority: 0,
            route: None,
            has_kv_cache: false,
        }
    }

    /// A caller that has no first token disconnects when its patience is over.
    pub(crate) fn caller_timed_out(&mut self, request: &RequestId) {
        let Some(request_state) = self.active.get(request) else {
            return;
        };
        if request_state.first_token_at.is_some() {
            return;
        }
        let (arrival, instance) = (request_state.arrival, request_state.instance);
        let request = request.clone();
        self.send_event(LINK_LATENCY, instance, Event::CallerGone { request });
        self.record_end(arrival, false, None);
    }

    /// A refused caller comes back when it was told to, while its patience lasts.
    pub(crate) fn request_refused(&mut self, refusal: &Refusal, request: &RequestId) {
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        *self.results.refusals.entry(refusal.kind).or_default() += 1;
        let (arrival, delivered_tokens) = (request_state.arrival, request_state.delivered_tokens);
        if self.now + refusal.retry_after >= self.caller_timeout_at(arrival, delivered_tokens) {
            self.record_end(arrival, false, None);
            return;
        }
        let simulation_event = SimulationEvent::Submitted {
            arrival,
            delivered_tokens,
        };
        self.schedule(refusal.retry_after, simulation_event);
    }

    /// Time until which a caller comes back: the caller of a call, or of an answer that has begun,
    /// until its deadline.
    fn caller_timeout_at(&self, arrival: usize, delivered_tokens: u32) -> Duration {
        let spec = &self.arrivals[arrival];
        let is_waiting =
            matches!(spec.request_kind, RequestKind::Prompt { .. }) && delivered_tokens == 0;
        spec.at + if is_waiting { CALLER_TIMEOUT } else { DEADLINE }
    }

    pub(crate) fn record_end(
        &mut self,
        arrival: usize,
        complete: bool,
        first_at: Option<Duration>,
    ) {
        let at = self.arrivals[arrival].at;
        let complete = complete && self.now <= at + DEADLINE;
        let first_response_after = first_at.map(|first_at| first_at.saturating_sub(at));
        self.results.ends.insert(
            arrival,
            RequestEnd {
                complete,
                first_response_after,
            },
        );
    }

    pub(crate) fn answer_call(&mut self, outcome: &CallOutcome, request: &RequestId) {
        if let CallOutcome::NotRun(refusal) = outcome {
            self.request_refused(refusal, request);
            return;
        }
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        let complete = matches!(outcome, CallOutcome::Ran(_));
        self.record_end(request_state.arrival, complete, Some(self.now));
    }

    pub(crate) fn call_arrived(
        &mut self,
        attempt: Attempt,
        request: &RequestId,
        target: &TargetId,
    ) {
        let service = self
            .services
            .iter_mut()
            .find(|service| service.listing.id == *target);
        let Some(service) = service.filter(|service| service.alive) else {
            self.attempt_failed(request, FailureKind::Unreachable, target.clone());
            return;
        };
        *service
            .executions
            .entry(arrival_index(request))
            .or_default() += 1;
        service.running_count += 1;
        let delay = service.completion_delay();
        let (request, target) = (request.clone(), target.clone());
        self.schedule(
            delay,
            SimulationEvent::CallEnded {
                attempt,
                request,
                target,
            },
        );
    }

    pub(crate) fn call_ended(&mut self, attempt: Attempt, request: &RequestId, target: &TargetId) {
        let service = self
            .services
            .iter_mut()
            .find(|service| service.listing.id == *target);
        let Some(service) = service else {
            return;
        };
        service.running_count -= 1;
        if !service.alive {
            self.attempt_failed(request, FailureKind::Broken, target.clone());
            return;
        }
        let Some(request_state) = self.active.get(request) else {
            return;
        };
        let reply = CallReply {
            body: "{}".into(),
            status: 200,
        };
        let event = Event::CallCompleted {
            attempt,
            reply,
            request: request.clone(),
        };
        self.send_event(LINK_LATENCY, request_state.instance, event);
    }
}

/// Arrival of a request; the id outlives the request_state, so that an operation whose caller gave up is
/// counted too.
fn arrival_index(request: &RequestId) -> usize {
    let digits = request.trim_start_matches('r').split('-').next();
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(usize::MAX)
}

pub(crate) fn prompt_submission(
    arrival: usize,
    spec: &Arrival,
    deadline: Duration,
    request: RequestId,
) -> GenerateSubmission {
    GenerateSubmission {
        account: Scenario::account(spec.account),
        deadline,
        delivered_tokens: 0,
        fingerprint: arrival as u64,
        max_tokens: 4_096,
        model: "model".into(),
        prefix_hashes: vec![spec.prefix],
        prompt_tokens: 0,
        request,
    }
}

pub(crate) fn call_submission(
    arrival: usize,
    spec: &Arrival,
    kind: OperationKind,
    deadline: Duration,
    request: RequestId,
) -> CallSubmission {
    let (key, operation) = match kind {
        OperationKind::Idempotent => (None, "look"),
        OperationKind::NonRepeatable => (Some(format!("key-{arrival}").into()), "book"),
    };
    CallSubmission {
        account: Scenario::account(spec.account),
        body_hash: format!("body-{arrival}").into(),
        deadline,
        fingerprint: arrival as u64,
        key,
        kind,
        operation: operation.into(),
        request,
        service: "orders".into(),
    }
}
