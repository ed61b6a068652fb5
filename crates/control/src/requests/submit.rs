use super::*;

/// Shortest retry delay that is computed from the expected wait, and the one of a draining
/// instance.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry delay that is computed from the expected wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Retry delay if the wait cannot be estimated: one poll interval of the targets.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Factor by which the expected wait must exceed the plan's maximum for an immediate refusal. The
/// estimate is too high: it counts the whole answers of the requests ahead, although engines lower
/// the priority of long ones in favor of newer requests. A needless refusal costs the caller its
/// position in the queue.
const REFUSAL_WAIT_FACTOR: f64 = 1.5;

impl Requests {
    /// Handles a submitted call. The record of a non-repeatable call is read before anything else:
    /// an earlier refusal could report "not run" for a key that has already run.
    pub fn call_submitted(&mut self, env: &mut RequestEnv, call: &CallSubmission) {
        let request = call.request.clone();
        let entry = ActiveRequest::new(env.context.now, Submission::Call(call.clone()));
        let entry = self.with_expected_size(env.lists, entry);
        let is_non_repeatable = entry.is_non_repeatable();
        self.entries.insert(request.clone(), entry);
        self.budget.record_request(env.context.now);
        if !is_non_repeatable {
            self.admit(env, &request, RequestEvent::Admitted);
            return;
        }
        self.step(env, &request, RequestEvent::ClaimNeeded, Payload::default());
        let effects = env.claims.submit(env.context, call);
        self.apply_effects(env, effects);
    }

    /// Handles a submitted prompt, or a stream that another instance served before.
    pub fn generate_submitted(&mut self, env: &mut RequestEnv, generate: GenerateSubmission) {
        let request = generate.request.clone();
        let entry = ActiveRequest::new(env.context.now, Submission::Generate(generate));
        let entry = self.with_expected_size(env.lists, entry);
        let is_resumed = entry.is_accepted_stream();
        self.entries.insert(request.clone(), entry);
        self.budget.record_request(env.context.now);
        let event = if is_resumed {
            RequestEvent::Resumed
        } else {
            RequestEvent::Admitted
        };
        self.admit(env, &request, event);
    }

    /// Admits a call whose claim has become durable, unless its caller has disconnected.
    pub(crate) fn claim_cleared(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let is_gone = self
            .entries
            .get(request)
            .is_none_or(|entry| entry.is_caller_gone);
        if !self.entries.contains_key(request) {
            return;
        }
        if is_gone {
            let refusal = refusal(RefusalKind::Deadline, Duration::ZERO);
            self.refuse_now(env, request, refusal);
            return;
        }
        self.admit(env, request, RequestEvent::Cleared);
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse_now(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        refusal: Refusal,
    ) {
        let payload = Payload {
            refusal: Some(refusal),
            ..Payload::default()
        };
        self.step(env, request, RequestEvent::Refused, payload);
    }

    fn admit(&mut self, env: &mut RequestEnv, request: &RequestId, event: RequestEvent) {
        match self.admission_refusal(env, request) {
            None => self.step(env, request, event, Payload::default()),
            Some(refusal) => self.refuse_now(env, request, refusal),
        }
    }

    fn admission_refusal(&self, env: &RequestEnv, request: &RequestId) -> Option<Refusal> {
        let entry = self.entries.get(request)?;
        let now = env.context.now;
        if self.is_draining {
            return Some(refusal(RefusalKind::Draining, MIN_RETRY_AFTER));
        }
        if let Some(remaining) = self.quarantine.blocked_for(now, entry.fingerprint) {
            return Some(refusal(RefusalKind::Quarantined, remaining));
        }
        if !env.is_fresh {
            return Some(refusal(RefusalKind::StaleConfig, DEFAULT_RETRY_AFTER));
        }
        if entry.is_accepted_stream() {
            return None;
        }
        let plan = account_plan(env.lists, &entry.account);
        let is_suspect = self.quarantine.is_suspect(now, entry.fingerprint);
        let Some(service_ms) = self
            .router
            .best_expected_ms(&env.view, &entry.query(is_suspect))
        else {
            return Some(refusal(RefusalKind::NoTarget, DEFAULT_RETRY_AFTER));
        };
        let weight = f64::from(plan.share_weight.max(1));
        let wait_ms = self.wait_ms(env, entry, service_ms, weight);
        if self.admission.waiting_count(&entry.account) >= plan.max_queued_count {
            return Some(refusal(RefusalKind::Limit, clamped_retry_after(wait_ms)));
        }
        self.deadline_refusal(entry, wait_ms, service_ms)
    }

    /// Refuses a request that cannot start within the maximum wait of its plan or complete before
    /// its deadline. The run time of a kind of work that was never observed does not count, and a
    /// request is admitted if nothing waits or runs: otherwise the estimate could not recover from
    /// a wrong value.
    fn deadline_refusal(
        &self,
        entry: &ActiveRequest,
        wait_ms: f64,
        service_ms: f64,
    ) -> Option<Refusal> {
        let is_known = self.history.expected(&entry.account, &entry.kind).is_some();
        let is_busy = wait_ms > 0.0 || self.limits.running_count() > 0;
        let expected_ms = wait_ms + if is_known { service_ms } else { 0.0 };
        let max_wait_ms = entry.max_wait.as_secs_f64() * 1_000.0;
        let mut excess_ms = expected_ms - entry.deadline.as_secs_f64() * 1_000.0;
        if wait_ms > REFUSAL_WAIT_FACTOR * max_wait_ms {
            excess_ms = excess_ms.max(wait_ms - max_wait_ms);
        }
        (is_busy && excess_ms > 0.0)
            .then(|| refusal(RefusalKind::Deadline, clamped_retry_after(excess_ms)))
    }

    /// Expected wait in the queue, in milliseconds: the time that the requests ahead take, divided
    /// by this instance's share of the slots.
    fn wait_ms(
        &self,
        env: &RequestEnv,
        entry: &ActiveRequest,
        service_ms: f64,
        weight: f64,
    ) -> f64 {
        let ahead = self
            .admission
            .cost_ahead(&entry.resource, &entry.account, weight);
        let slots = self.router.slot_count(&env.view, &entry.resource).max(1.0);
        let unit_ms = match entry.submission {
            Submission::Call(_) => 1.0,
            Submission::Generate(_) => service_ms / entry.size.max(1.0),
        };
        ahead * unit_ms * env.view.sharing_factor / slots
    }

    /// Retry delay for a request that reached its maximum wait in the queue: the time after which a
    /// request like it could start within that wait.
    pub(crate) fn retry_after_wait(&self, env: &RequestEnv, entry: &ActiveRequest) -> Duration {
        let Some(service_ms) = self.router.best_expected_ms(&env.view, &entry.query(false)) else {
            return DEFAULT_RETRY_AFTER;
        };
        let plan = account_plan(env.lists, &entry.account);
        let weight = f64::from(plan.share_weight.max(1));
        let wait_ms = self.wait_ms(env, entry, service_ms, weight);
        clamped_retry_after(wait_ms - entry.max_wait.as_secs_f64() * 1_000.0)
            .max(DEFAULT_RETRY_AFTER)
    }

    /// Sets the maximum wait from the plan, and the expected size from the history.
    fn with_expected_size(&self, lists: &OperatorLists, mut entry: ActiveRequest) -> ActiveRequest {
        entry.max_wait = Duration::from_millis(account_plan(lists, &entry.account).max_wait_ms);
        let expected = self.history.expected(&entry.account, &entry.kind);
        let admission = &self.settings.admission;
        match &entry.submission {
            Submission::Call(_) => {
                let default_ms = 1_000.0 / self.settings.route.default_rate_per_s.max(0.001);
                entry.size = expected.unwrap_or(default_ms);
                entry.is_short = entry.size <= admission.short_call_ms as f64;
            }
            Submission::Generate(generate) => {
                let unknown = f64::from(admission.unknown_tokens);
                let longest = f64::from(generate.max_tokens);
                entry.size = expected.unwrap_or(unknown).min(longest).max(1.0);
                entry.expected_tokens = entry.size;
                entry.is_short = entry.size <= f64::from(admission.short_tokens);
            }
        }
        entry
    }
}

pub(crate) fn refusal(kind: RefusalKind, retry_after: Duration) -> Refusal {
    Refusal { kind, retry_after }
}

fn clamped_retry_after(wait_ms: f64) -> Duration {
    let wait = Duration::from_secs_f64(wait_ms.clamp(0.0, 1e9) / 1_000.0);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
