use super::*;

/// Interval at which the reports of the targets are evaluated.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

impl Requests {
    /// Handles the report that tokens were delivered. `delivered_tokens` counts from the start of
    /// the answer.
    pub fn progressed(&mut self, env: &mut RequestEnv, request: &RequestId, delivered_tokens: u32) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        // Progress of a failed attempt may arrive after its failure.
        if entry.state != RequestState::Running || delivered_tokens <= entry.delivered_tokens {
            return;
        }
        let payload = Payload {
            tokens: delivered_tokens,
            ..Payload::default()
        };
        self.step(env, request, RequestEvent::Progressed, payload);
    }

    /// Handles the completion of a generation. Completions of earlier attempts are dropped.
    pub fn generate_completed(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        attempt: Attempt,
        token_count: u32,
    ) {
        if !self.is_current(request, attempt) {
            return;
        }
        let payload = Payload {
            tokens: token_count,
            ..Payload::default()
        };
        self.step(env, request, RequestEvent::Completed, payload);
    }

    /// Handles the reply to a call. A reply that arrives after a non-repeatable call has ended here
    /// still tells its record that the call ran.
    pub fn call_completed(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        attempt: Attempt,
        reply: CallReply,
    ) {
        if self.is_current(request, attempt) {
            let payload = Payload {
                reply: Some(reply),
                ..Payload::default()
            };
            self.step(env, request, RequestEvent::Completed, payload);
        } else if !self.entries.contains_key(request) {
            let effects = env.claims.call_completed(env.context, request, reply);
            self.apply_effects(env, effects);
        }
    }

    /// Ends a request whose caller disconnected. A non-repeatable call that was dispatched, or
    /// whose claim is not yet known, continues, so that its record gets the actual outcome.
    pub fn caller_gone(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        entry.is_caller_gone = true;
        if !entry.is_non_repeatable() {
            self.step(env, request, RequestEvent::CallerGone, Payload::default());
            return;
        }
        if matches!(entry.state, RequestState::BackingOff | RequestState::Queued) {
            let unwanted = refusal(RefusalKind::Deadline, Duration::ZERO);
            self.refuse_now(env, request, unwanted);
        }
    }

    /// Applies changes of an engine's prefix cache.
    pub fn cache_events_received(
        &mut self,
        now: Duration,
        target: &TargetId,
        events: &[CacheEvent],
    ) {
        let limit = self.settings.route.cache_prefix_count;
        self.router
            .caches
            .events_received(now, target, events, limit);
    }

    /// Sets in each poll command the position after which cache events are requested.
    pub fn fill_cache_positions(&self, commands: &mut [Command]) {
        for command in commands {
            if let Command::Poll {
                cache_event_count,
                target,
                ..
            } = command
            {
                *cache_event_count = self.router.caches.position(target);
            }
        }
    }

    /// Applies the crashes and the demand that a peer reported.
    pub fn heartbeat_received(&mut self, now: Duration, heartbeat: &Heartbeat) {
        self.limits.heartbeat_received(now, heartbeat);
        self.quarantine
            .record_heartbeat(now, &heartbeat.sender, &heartbeat.crashes);
    }

    /// Handles what is due: deadlines, backoffs, priorities and departures of engines.
    pub fn tick(&mut self, env: &mut RequestEnv) {
        let now = env.context.now;
        self.limits.tick(now);
        self.quarantine.tick(now);
        self.observe_targets(env);
        let requests: Vec<RequestId> = self.entries.keys().cloned().collect();
        for request in requests {
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            match entry.state {
                RequestState::BackingOff if entry.retry_at <= now => {
                    self.step(
                        env,
                        &request,
                        RequestEvent::BackoffEnded,
                        Payload::default(),
                    );
                }
                RequestState::BackingOff | RequestState::Queued => self.expire(env, &request),
                RequestState::Running => self.check_running(env, &request),
                RequestState::Claiming | RequestState::Ended | RequestState::New => {}
            }
        }
    }

    pub(crate) fn note_progress(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        payload: &Payload,
    ) {
        let now = env.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let token_count = payload.tokens - entry.delivered_tokens;
        let is_first = entry.delivered_tokens == entry.delivered_at_failure;
        let elapsed_ms = now.saturating_sub(entry.progressed_at).as_secs_f64() * 1_000.0;
        entry.delivered_tokens = payload.tokens;
        entry.progressed_at = now;
        if entry.size < f64::from(entry.delivered_tokens) {
            entry.size = f64::from(entry.delivered_tokens);
            entry.is_short = entry.size <= f64::from(self.settings.admission.short_tokens);
        }
        // The time to the first token includes prefill and does not show the cost of the links.
        if let (false, Some(route)) = (is_first, &entry.route) {
            let excess_ms = elapsed_ms / f64::from(token_count) - entry.token_ms;
            self.router.links.observe(now, route, excess_ms);
        }
        let since_failure = entry.delivered_tokens - entry.delivered_at_failure;
        if since_failure >= self.settings.quarantine.clear_tokens {
            self.quarantine
                .record_success(now, entry.fingerprint, request);
            self.router.load_estimator.suspect_cleared(request);
        }
        self.set_priority(env, request);
    }

    fn is_current(&self, request: &RequestId, attempt: Attempt) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| entry.state == RequestState::Running && entry.attempt == attempt)
    }

    /// Refuses a waiting request once its deadline, the maximum wait of its plan or the validity of
    /// its claim has passed. The maximum wait does not apply after the first attempt has started,
    /// nor the deadline to a stream that has delivered tokens.
    fn expire(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let now = env.context.now;
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        let is_late = now >= entry.arrived_at + entry.deadline && !entry.is_accepted_stream();
        let is_claim_over = entry.is_non_repeatable() && !env.claims.may_dispatch(now, request);
        let has_started = entry.attempt > 0 || entry.is_accepted_stream();
        if !has_started && now >= entry.arrived_at + entry.max_wait {
            let retry_after = self.retry_after_wait(env, entry);
            self.refuse_now(env, request, refusal(RefusalKind::Deadline, retry_after));
            return;
        }
        if is_late || is_claim_over {
            let deadline_refusal = refusal(RefusalKind::Deadline, Duration::from_secs(1));
            self.refuse_now(env, request, deadline_refusal);
        }
    }

    /// Ends a running call at its deadline. Updates the priority of a running generation, and
    /// replaces its attempt if an engine of it is leaving.
    fn check_running(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let now = env.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        if matches!(entry.submission, Submission::Generate(_)) {
            self.set_priority(env, request);
            self.check_departure(env, request);
            return;
        }
        if now < entry.arrived_at + entry.deadline {
            return;
        }
        entry.may_have_run = true;
        if entry.is_non_repeatable() {
            let effects = env.claims.call_lost(env.context, request);
            self.apply_effects(env, effects);
            return;
        }
        let deadline_refusal = refusal(RefusalKind::Deadline, Duration::from_secs(1));
        self.refuse_now(env, request, deadline_refusal);
    }

    fn set_priority(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let stalled = env.context.now.saturating_sub(entry.progressed_at);
        let admission = &self.settings.admission;
        let priority = generation_priority(
            admission,
            entry.expected_tokens,
            entry.delivered_tokens,
            stalled,
        );
        let Some(route) = entry.route.clone() else {
            return;
        };
        if priority == entry.priority {
            return;
        }
        entry.priority = priority;
        env.context.push(Command::SetPriority {
            attempt: entry.attempt,
            priority,
            request: request.clone(),
            route,
        });
    }

    fn observe_targets(&mut self, env: &RequestEnv) {
        let now = env.context.now;
        if now < self.next_observation_at {
            return;
        }
        self.next_observation_at = now + OBSERVE_INTERVAL;
        for target in env.view.targets {
            self.router.rates.observe(target);
        }
        let members = env.members;
        self.router.rates.retain(|id| members.target(id).is_some());
        let reported_at = |id: &TargetId| members.target(id).map(|target| target.reported_at);
        self.router.load_estimator.tick(now, reported_at);
    }
}
