use super::*;

impl Requests {
    /// Takes in the failure of an attempt. Failures of earlier attempts come late and are dropped.
    pub fn attempt_failed(
        &mut self,
        scope: &mut Scope,
        request: &RequestId,
        failure: &AttemptFailure,
        delivered_tokens: u32,
    ) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        if entry.state != RequestState::Running || entry.attempt != failure.attempt {
            return;
        }
        let now = scope.context.now;
        entry.delivered_tokens = entry.delivered_tokens.max(delivered_tokens);
        let target = scope.members.target(&failure.target);
        entry.failed(failure, target.map(|target| target.failure_domain.clone()));
        let (fingerprint, was_suspect) = (entry.fingerprint, entry.was_suspect);
        let is_lost = entry.is_non_repeatable() && !failure.kind.is_not_run();
        if failure.kind == FailureKind::Broken {
            let incarnation = target.map_or(0, |target| target.incarnation);
            self.quarantine.record_crash(
                now,
                fingerprint,
                &failure.target,
                incarnation,
                was_suspect,
            );
        }
        if is_lost {
            let effects = scope.claims.lost(scope.context, request);
            self.apply_effects(scope, effects);
            return;
        }
        if let Some(remaining) = self.quarantine.blocked_for(now, fingerprint) {
            let blocked = refusal(RefusalKind::Quarantined, remaining);
            self.refuse_now(scope, request, blocked);
            return;
        }
        self.retry(scope, request, failure.kind);
    }

    fn retry(&mut self, scope: &mut Scope, request: &RequestId, kind: FailureKind) {
        let now = scope.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        // The death of a target is no sign of overload, and a stream that makes progress between
        // deaths does not multiply load, so such retries are free and start at once.
        let is_death = !matches!(kind, FailureKind::Protocol | FailureKind::Refused);
        if is_death && entry.failure_count <= 1 {
            entry.retry_at = now;
            self.step(
                scope,
                request,
                RequestEvent::RetriedAtOnce,
                Payload::default(),
            );
            return;
        }
        let is_spent = entry.failure_count > self.settings.retry.max_failure_count;
        let is_paid = !is_spent && self.budget.take(now);
        if !is_paid && !entry.is_accepted_stream() {
            let window = Duration::from_millis(self.settings.retry.window_ms);
            let exhausted = refusal(RefusalKind::RetriesExhausted, window / 2);
            self.refuse_now(scope, request, exhausted);
            return;
        }
        // An accepted stream is not lost to an empty budget; it retries at the slowest pace.
        let backoff = if is_paid {
            self.budget
                .backoff(&mut scope.context.random, entry.failure_count)
        } else {
            Duration::from_millis(self.settings.retry.max_backoff_ms)
        };
        entry.retry_at = now + backoff;
        self.step(
            scope,
            request,
            RequestEvent::RetriedLater,
            Payload::default(),
        );
    }
}

impl Entry {
    /// Notes a failure. Progress since the last one starts the count of failures again.
    fn failed(&mut self, failure: &AttemptFailure, domain: Option<FailureDomain>) {
        if self.delivered_tokens > self.delivered_at_failure {
            self.failure_count = 0;
            self.avoid_targets.clear();
        }
        self.delivered_at_failure = self.delivered_tokens;
        self.failure_count += 1;
        self.may_have_run |= !failure.kind.is_not_run();
        self.avoid_targets.insert(failure.target.clone());
        self.avoid_domain = domain;
    }
}
