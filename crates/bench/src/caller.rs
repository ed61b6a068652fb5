use super::*;

/// Time in which a caller notices that an address does not answer and tries another one.
const ADDRESS_RETRY_DELAY: Duration = Duration::from_millis(2);

impl Simulation {
    /// Submits a request to an instance chosen at random. If that instance does not run, tries
    /// again after `ADDRESS_RETRY_DELAY`.
    pub(crate) fn submit(&mut self, arrival_index: usize, delivered_tokens: u32) {
        let instance = self.random.random_range(0..self.instances.len());
        if self.instances[instance].is_none() {
            let simulation_event = SimulationEvent::Submitted {
                arrival_index,
                delivered_tokens,
            };
            self.schedule(ADDRESS_RETRY_DELAY, simulation_event);
            return;
        }
        let arrival = self.arrivals[arrival_index].clone();
        let until_deadline = (arrival.at + DEADLINE).saturating_sub(self.now);
        let until_timeout = self
            .caller_timeout_at(arrival_index, delivered_tokens)
            .saturating_sub(self.now);
        if until_deadline.is_zero() || until_timeout.is_zero() {
            self.record_end(arrival_index, false, None);
            return;
        }
        let request: RequestId = format!("r{arrival_index}-{}", self.now.as_micros()).into();
        self.active.insert(
            request.clone(),
            self.new_request_state(arrival_index, delivered_tokens, instance),
        );
        if until_timeout < until_deadline {
            let request = request.clone();
            self.schedule(until_timeout, SimulationEvent::CallerTimedOut { request });
        }
        let event = match arrival.request_kind {
            RequestKind::Call { kind } => Event::CallSubmitted(call_submission(
                arrival_index,
                &arrival,
                kind,
                until_deadline,
                request,
            )),
            RequestKind::Prompt { .. } => {
                let mut prompt =
                    prompt_submission(arrival_index, &arrival, until_deadline, request);
                prompt.delivered_tokens = delivered_tokens;
                prompt.prompt_tokens = self.scenario.prompt_tokens();
                Event::GenerateSubmitted(prompt)
            }
        };
        self.send_event(LINK_LATENCY, instance, event);
    }

    fn new_request_state(
        &self,
        arrival_index: usize,
        delivered_tokens: u32,
        instance: usize,
    ) -> ActiveRequest {
        ActiveRequest {
            arrival_index,
            attempt: 0,
            delivered_tokens,
            first_token_at: (delivered_tokens > 0).then_some(self.arrivals[arrival_index].at),
            instance,
            last_token_at: self.now,
            phase: RequestPhase::Instance,
            priority: 0,
            route: None,
            has_kv_cache: false,
        }
    }

    /// Disconnects a caller whose timeout has passed, unless it has received a first token.
    pub(crate) fn caller_timed_out(&mut self, request: &RequestId) {
        let Some(request_state) = self.active.get(request) else {
            return;
        };
        if request_state.first_token_at.is_some() {
            return;
        }
        let (arrival_index, instance) = (request_state.arrival_index, request_state.instance);
        let request = request.clone();
        self.send_event(LINK_LATENCY, instance, Event::CallerGone { request });
        self.record_end(arrival_index, false, None);
    }

    /// Submits a refused request again after the time that the refusal states, or ends it if its
    /// caller would have disconnected by then.
    pub(crate) fn request_refused(&mut self, refusal: &Refusal, request: &RequestId) {
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        *self.results.refusals.entry(refusal.kind).or_default() += 1;
        let (arrival_index, delivered_tokens) =
            (request_state.arrival_index, request_state.delivered_tokens);
        if self.now + refusal.retry_after >= self.caller_timeout_at(arrival_index, delivered_tokens)
        {
            self.record_end(arrival_index, false, None);
            return;
        }
        let simulation_event = SimulationEvent::Submitted {
            arrival_index,
            delivered_tokens,
        };
        self.schedule(refusal.retry_after, simulation_event);
    }

    /// Time until which a caller submits a request again: the caller timeout of a prompt without a
    /// first token; for calls and answers that have started, the deadline.
    fn caller_timeout_at(&self, arrival_index: usize, delivered_tokens: u32) -> Duration {
        let arrival = &self.arrivals[arrival_index];
        let is_waiting =
            matches!(arrival.request_kind, RequestKind::Prompt { .. }) && delivered_tokens == 0;
        arrival.at + if is_waiting { CALLER_TIMEOUT } else { DEADLINE }
    }

    /// Records how a request ended; an answer after the deadline counts as incomplete.
    pub(crate) fn record_end(
        &mut self,
        arrival_index: usize,
        complete: bool,
        first_at: Option<Duration>,
    ) {
        let at = self.arrivals[arrival_index].at;
        let complete = complete && self.now <= at + DEADLINE;
        let first_response_after = first_at.map(|first_at| first_at.saturating_sub(at));
        self.results.ends.insert(
            arrival_index,
            RequestEnd {
                complete,
                first_response_after,
            },
        );
    }

    /// Handles the outcome of a call at its caller.
    pub(crate) fn answer_call(&mut self, outcome: &CallOutcome, request: &RequestId) {
        if let CallOutcome::NotRun(refusal) = outcome {
            self.request_refused(refusal, request);
            return;
        }
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        let complete = matches!(outcome, CallOutcome::Ran(_));
        self.record_end(request_state.arrival_index, complete, Some(self.now));
    }

    /// Starts a call at a service, or fails its attempt if the service does not run.
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
            .entry(arrival_index_of(request))
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

    /// Ends a call at a service; its attempt fails if the service was stopped meanwhile.
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

/// Index of a request's arrival, taken from the request id. The state of the request may be gone
/// already, and an operation whose caller disconnected has to be counted too.
fn arrival_index_of(request: &RequestId) -> usize {
    let digits = request.trim_start_matches('r').split('-').next();
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(usize::MAX)
}

pub(crate) fn prompt_submission(
    arrival_index: usize,
    arrival: &Arrival,
    deadline: Duration,
    request: RequestId,
) -> GenerateSubmission {
    GenerateSubmission {
        account: Scenario::account(arrival.account),
        deadline,
        delivered_tokens: 0,
        fingerprint: arrival_index as u64,
        max_tokens: 4_096,
        model: "model".into(),
        prefix_hashes: vec![arrival.prefix],
        prompt_tokens: 0,
        request,
    }
}

pub(crate) fn call_submission(
    arrival_index: usize,
    arrival: &Arrival,
    kind: OperationKind,
    deadline: Duration,
    request: RequestId,
) -> CallSubmission {
    let (key, operation) = match kind {
        OperationKind::Idempotent => (None, "look"),
        OperationKind::NonRepeatable => (Some(format!("key-{arrival_index}").into()), "book"),
    };
    CallSubmission {
        account: Scenario::account(arrival.account),
        body_hash: format!("body-{arrival_index}").into(),
        deadline,
        fingerprint: arrival_index as u64,
        key,
        kind,
        operation: operation.into(),
        request,
        service: "orders".into(),
    }
}
