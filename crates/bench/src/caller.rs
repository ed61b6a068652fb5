use super::*;

/// Time a caller needs to notice a dead address and take another one.
const NEXT_ADDRESS: Duration = Duration::from_millis(2);

impl World {
    /// A caller sends a request to one of the addresses that it knows.
    pub(crate) fn submit(&mut self, arrival: usize, delivered_tokens: u32) {
        let instance = self.random.random_range(0..self.instances.len());
        if self.instances[instance].is_none() {
            let occurrence = Occurrence::Submitted {
                arrival,
                delivered_tokens,
            };
            self.schedule(NEXT_ADDRESS, occurrence);
            return;
        }
        let spec = self.arrivals[arrival].clone();
        let left = (spec.at + DEADLINE).saturating_sub(self.now);
        let patience = self
            .patience_end(arrival, delivered_tokens)
            .saturating_sub(self.now);
        if left.is_zero() || patience.is_zero() {
            self.end(arrival, false, None);
            return;
        }
        let request: RequestId = format!("r{arrival}-{}", self.now.as_micros()).into();
        self.active.insert(
            request.clone(),
            self.request_state(arrival, delivered_tokens, instance),
        );
        if patience < left {
            let request = request.clone();
            self.schedule(patience, Occurrence::GaveUp { request });
        }
        let event = match spec.work {
            Work::Call { kind } => Event::CallSubmitted(call(arrival, &spec, kind, left, request)),
            Work::Prompt { .. } => {
                let mut prompt = prompt(arrival, &spec, left, request);
                prompt.delivered_tokens = delivered_tokens;
                prompt.prompt_tokens = self.scenario.prompt_tokens();
                Event::GenerateSubmitted(prompt)
            }
        };
        self.send_event(LINK, instance, event);
    }

    fn request_state(
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
            place: Place::Instance,
            priority: 0,
            route: None,
            warm: false,
        }
    }

    /// A caller that has no first token disconnects when its patience is over.
    pub(crate) fn give_up(&mut self, request: &RequestId) {
        let Some(request_state) = self.active.get(request) else {
            return;
        };
        if request_state.first_token_at.is_some() {
            return;
        }
        let (arrival, instance) = (request_state.arrival, request_state.instance);
        let request = request.clone();
        self.send_event(LINK, instance, Event::CallerGone { request });
        self.end(arrival, false, None);
    }

    /// A refused caller comes back when it was told to, while its patience lasts.
    pub(crate) fn refused(&mut self, refusal: &Refusal, request: &RequestId) {
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        *self.results.refusals.entry(refusal.kind).or_default() += 1;
        let (arrival, delivered_tokens) = (request_state.arrival, request_state.delivered_tokens);
        if self.now + refusal.retry_after >= self.patience_end(arrival, delivered_tokens) {
            self.end(arrival, false, None);
            return;
        }
        let occurrence = Occurrence::Submitted {
            arrival,
            delivered_tokens,
        };
        self.schedule(refusal.retry_after, occurrence);
    }

    /// Time until which a caller comes back: the caller of a call, or of an answer that has begun,
    /// until its deadline.
    fn patience_end(&self, arrival: usize, delivered_tokens: u32) -> Duration {
        let spec = &self.arrivals[arrival];
        let is_waiting = matches!(spec.work, Work::Prompt { .. }) && delivered_tokens == 0;
        spec.at + if is_waiting { PATIENCE } else { DEADLINE }
    }

    pub(crate) fn end(&mut self, arrival: usize, complete: bool, first_at: Option<Duration>) {
        let at = self.arrivals[arrival].at;
        let complete = complete && self.now <= at + DEADLINE;
        let first_after = first_at.map(|first_at| first_at.saturating_sub(at));
        self.results.ends.insert(
            arrival,
            End {
                complete,
                first_after,
            },
        );
    }

    pub(crate) fn answer_call(&mut self, outcome: &CallOutcome, request: &RequestId) {
        if let CallOutcome::NotRun(refusal) = outcome {
            self.refused(refusal, request);
            return;
        }
        let Some(request_state) = self.active.remove(request) else {
            return;
        };
        let complete = matches!(outcome, CallOutcome::Ran(_));
        self.end(request_state.arrival, complete, Some(self.now));
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
        *service.executions.entry(arrival_of(request)).or_default() += 1;
        service.running_count += 1;
        let delay = service.delay();
        let (request, target) = (request.clone(), target.clone());
        self.schedule(
            delay,
            Occurrence::CallEnded {
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
        self.send_event(LINK, request_state.instance, event);
    }
}

/// Arrival of a request; the id outlives the request_state, so that an operation whose caller gave up is
/// counted too.
fn arrival_of(request: &RequestId) -> usize {
    let digits = request.trim_start_matches('r').split('-').next();
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(usize::MAX)
}

pub(crate) fn prompt(
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

pub(crate) fn call(
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
