use super::*;

impl Requests {
    /// Handles the failure of an attempt. Late failures of earlier attempts are dropped.
    pub fn attempt_failed(
        &mut self,
        env: &mut RequestEnv,
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
        let now = env.context.now;
        entry.delivered_tokens = entry.delivered_tokens.max(delivered_tokens);
        let target = env.members.target(&failure.target);
        entry.record_failure(failure, target.map(|target| target.failure_domain.clone()));
        let (fingerprint, was_suspect) = (entry.fingerprint, entry.was_suspect);
        let is_outcome_unknown = entry.is_non_repeatable() && !failure.kind.is_not_run();
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
        if is_outcome_unknown {
            let effects = env.claims.call_lost(env.context, request);
            self.apply_effects(env, effects);
            return;
        }
        if let Some(remaining) = self.quarantine.blocked_for(now, fingerprint) {
            let blocked = refusal(RefusalKind::Quarantined, remaining);
            self.refuse_now(env, request, blocked);
            return;
        }
        self.retry(env, request, failure.kind);
    }

    fn retry(&mut self, env: &mut RequestEnv, request: &RequestId, kind: FailureKind) {
        let now = env.context.now;
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        // Losing a target is no sign of overload, and a stream that makes progress between such
        // failures does not multiply the load. These retries take nothing from the budget and start
        // immediately.
        let is_target_lost = !matches!(kind, FailureKind::Protocol | FailureKind::Refused);
        if is_target_lost && entry.failure_count <= 1 {
            entry.retry_at = now;
            self.step(
                env,
                request,
                RequestEvent::RetriedAtOnce,
                Payload::default(),
            );
            return;
        }
        let has_failed_too_often = entry.failure_count > self.settings.retry.max_failure_count;
        let is_within_budget = !has_failed_too_often && self.budget.try_retry(now);
        if !is_within_budget && !entry.is_accepted_stream() {
            let window = Duration::from_millis(self.settings.retry.window_ms);
            let exhausted = refusal(RefusalKind::RetriesExhausted, window / 2);
            self.refuse_now(env, request, exhausted);
            return;
        }
        // An accepted stream does not fail because the budget is empty; it retries with the
        // longest backoff.
        let backoff = if is_within_budget {
            self.budget
                .backoff(&mut env.context.random, entry.failure_count)
        } else {
            Duration::from_millis(self.settings.retry.max_backoff_ms)
        };
        entry.retry_at = now + backoff;
        self.step(env, request, RequestEvent::RetriedLater, Payload::default());
    }
}

impl ActiveRequest {
    /// Records a failed attempt. The failure count and the targets to avoid start over if tokens
    /// were delivered since the last failure.
    fn record_failure(&mut self, failure: &AttemptFailure, domain: Option<FailureDomain>) {
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
