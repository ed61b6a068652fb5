use super::*;

/// Shortest time to come back that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time to come back that a refusal computes from the queue.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Time to come back when nothing can be computed: one poll of the targets.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Factor by which the expected wait must exceed the longest one for a refusal at once. The
/// estimate counts whole answers ahead, also those that engines set back for younger work, and a
/// needless refusal costs the caller its place in the queue.
const WAIT_MARGIN: f64 = 1.5;

impl Requests {
    /// Takes in a call. Non-repeatable calls go to their record first: a refusal before it is read
    /// could tell a caller "not run" about a key that has run.
    pub fn call_submitted(&mut self, scope: &mut Scope, call: &CallSubmission) {
        let request = call.request.clone();
        let entry = Entry::new(scope.context.now, Job::Call(call.clone()));
        let entry = self.sized(scope.lists, entry);
        let is_non_repeatable = entry.is_non_repeatable();
        self.entries.insert(request.clone(), entry);
        self.budget.request(scope.context.now);
        if !is_non_repeatable {
            self.admit(scope, &request, RequestEvent::Admitted);
            return;
        }
        self.step(
            scope,
            &request,
            RequestEvent::ClaimNeeded,
            Payload::default(),
        );
        let effects = scope.claims.submit(scope.context, call);
        self.apply_effects(scope, effects);
    }

    /// Takes in a prompt, or a stream that another instance served.
    pub fn generate_submitted(&mut self, scope: &mut Scope, generate: GenerateSubmission) {
        let request = generate.request.clone();
        let entry = Entry::new(scope.context.now, Job::Generate(generate));
        let entry = self.sized(scope.lists, entry);
        let is_resumed = entry.is_accepted_stream();
        self.entries.insert(request.clone(), entry);
        self.budget.request(scope.context.now);
        let event = if is_resumed {
            RequestEvent::Resumed
        } else {
            RequestEvent::Admitted
        };
        self.admit(scope, &request, event);
    }

    /// Goes on with a call whose claim is durable.
    pub(crate) fn cleared(&mut self, scope: &mut Scope, request: &RequestId) {
        let is_gone = self
            .entries
            .get(request)
            .is_none_or(|entry| entry.is_caller_gone);
        if !self.entries.contains_key(request) {
            return;
        }
        if is_gone {
            let refusal = refusal(RefusalKind::Deadline, Duration::ZERO);
            self.refuse_now(scope, request, refusal);
            return;
        }
        self.admit(scope, request, RequestEvent::Cleared);
    }

    /// Refuses a request.
    pub(crate) fn refuse_now(&mut self, scope: &mut Scope, request: &RequestId, refusal: Refusal) {
        let payload = Payload {
            refusal: Some(refusal),
            ..Payload::default()
        };
        self.step(scope, request, RequestEvent::Refused, payload);
    }

    fn admit(&mut self, scope: &mut Scope, request: &RequestId, event: RequestEvent) {
        match self.reason_to_refuse(scope, request) {
            None => self.step(scope, request, event, Payload::default()),
            Some(refusal) => self.refuse_now(scope, request, refusal),
        }
    }

    fn reason_to_refuse(&self, scope: &Scope, request: &RequestId) -> Option<Refusal> {
        let entry = self.entries.get(request)?;
        let now = scope.context.now;
        if self.is_draining {
            return Some(refusal(RefusalKind::Draining, MIN_RETRY_AFTER));
        }
        if let Some(remaining) = self.quarantine.blocked_for(now, entry.fingerprint) {
            return Some(refusal(RefusalKind::Quarantined, remaining));
        }
        if !scope.is_fresh {
            return Some(refusal(RefusalKind::StaleConfig, DEFAULT_RETRY_AFTER));
        }
        if entry.is_accepted_stream() {
            return None;
        }
        let plan = plan(scope.lists, &entry.account);
        let is_suspect = self.quarantine.is_suspect(now, entry.fingerprint);
        let Some(service_ms) = self.router.best(&scope.view, &entry.query(is_suspect)) else {
            return Some(refusal(RefusalKind::NoTarget, DEFAULT_RETRY_AFTER));
        };
        let weight = f64::from(plan.share_weight.max(1));
        let wait_ms = self.wait_ms(scope, entry, service_ms, weight);
        if self.admission.waiting_count(&entry.account) >= plan.max_queued_count {
            return Some(refusal(RefusalKind::Limit, come_back(wait_ms)));
        }
        self.late(entry, wait_ms, service_ms)
    }

    /// Refusal of work that cannot start within the longest wait of its plan or meet its deadline.
    /// Work of a kind that was never observed, and
    /// work that finds nothing running, is let through: without it the estimate could not recover
    /// from a wrong value.
    fn late(&self, entry: &Entry, wait_ms: f64, service_ms: f64) -> Option<Refusal> {
        let is_known = self.history.expected(&entry.account, &entry.kind).is_some();
        let is_busy = wait_ms > 0.0 || self.limits.running_count() > 0;
        let expected_ms = wait_ms + if is_known { service_ms } else { 0.0 };
        let max_wait_ms = entry.max_wait.as_secs_f64() * 1_000.0;
        let mut excess_ms = expected_ms - entry.deadline.as_secs_f64() * 1_000.0;
        if wait_ms > WAIT_MARGIN * max_wait_ms {
            excess_ms = excess_ms.max(wait_ms - max_wait_ms);
        }
        (is_busy && excess_ms > 0.0).then(|| refusal(RefusalKind::Deadline, come_back(excess_ms)))
    }

    /// Expected wait in the queue: the cost ahead, over what the targets complete for this
    /// instance.
    fn wait_ms(&self, scope: &Scope, entry: &Entry, service_ms: f64, weight: f64) -> f64 {
        let ahead = self
            .admission
            .cost_ahead(&entry.resource, &entry.account, weight);
        let slots = self
            .router
            .slot_count(&scope.view, &entry.resource)
            .max(1.0);
        let unit_ms = match entry.job {
            Job::Call(_) => 1.0,
            Job::Generate(_) => service_ms / entry.size.max(1.0),
        };
        ahead * unit_ms * scope.view.factor / slots
    }

    /// Time until work like this one, which waited in vain, has a chance to start.
    pub(crate) fn come_back_after_wait(&self, scope: &Scope, entry: &Entry) -> Duration {
        let Some(service_ms) = self.router.best(&scope.view, &entry.query(false)) else {
            return DEFAULT_RETRY_AFTER;
        };
        let plan = plan(scope.lists, &entry.account);
        let weight = f64::from(plan.share_weight.max(1));
        let wait_ms = self.wait_ms(scope, entry, service_ms, weight);
        come_back(wait_ms - entry.max_wait.as_secs_f64() * 1_000.0).max(DEFAULT_RETRY_AFTER)
    }

    /// Fills in the longest wait from the plan and the expected size from the history.
    fn sized(&self, lists: &OperatorLists, mut entry: Entry) -> Entry {
        entry.max_wait = Duration::from_millis(plan(lists, &entry.account).max_wait_ms);
        let expected = self.history.expected(&entry.account, &entry.kind);
        let admission = &self.settings.admission;
        match &entry.job {
            Job::Call(_) => {
                let default_ms = 1_000.0 / self.settings.route.default_rate_per_s.max(0.001);
                entry.size = expected.unwrap_or(default_ms);
                entry.is_short = entry.size <= admission.short_call_ms as f64;
            }
            Job::Generate(generate) => {
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

fn come_back(wait_ms: f64) -> Duration {
    let wait = Duration::from_secs_f64(wait_ms.clamp(0.0, 1e9) / 1_000.0);
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
