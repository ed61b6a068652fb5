use super::*;

/// Time for which queued work waits when its targets are gone, as a replacement may be starting.
const NO_TARGET_GRACE: Duration = Duration::from_secs(2);

/// Classes of work that found no place in the current pass.
type Full = BTreeSet<(Resource, bool, bool)>;

impl Requests {
    /// Dispatches queued work while there are places: first work that was accepted earlier, then
    /// the queues of the accounts.
    pub fn dispatch_ready(&mut self, scope: &mut Scope) {
        let mut full = Full::new();
        for key in self.first.clone() {
            let Some(request) = self.entries.request(key).cloned() else {
                continue;
            };
            self.try_dispatch(scope, &request, &mut full);
        }
        for resource in self.admission.resources() {
            self.serve(scope, &resource, &mut full);
        }
    }

    fn serve(&mut self, scope: &mut Scope, resource: &Resource, full: &mut Full) {
        let now = scope.context.now;
        loop {
            let (limits, context, identity) = (&self.limits, &*scope.context, scope.view.identity);
            let mut may_start = |head: &Waiting| {
                let class = (resource.clone(), head.is_short, false);
                let limit = plan(scope.lists, &head.account).max_concurrent_count;
                !full.contains(&class)
                    && limits.may_start(now, context.wall, identity, &head.account, limit)
            };
            let Some(waiting) = self.admission.next(resource, now, &mut may_start) else {
                return;
            };
            if self.try_dispatch(scope, &waiting.request, full) {
                continue;
            }
            let entry = self.entries.get(&waiting.request);
            let is_queued = entry.is_some_and(|entry| entry.state == RequestState::Queued);
            if is_queued && self.waits_for_another(now, &waiting.request) {
                // Waits for another request, not for a place, and must not block its queue.
                self.first.extend(self.entries.key(&waiting.request));
            } else if is_queued {
                self.admission.put_back(resource, waiting);
            }
        }
    }

    /// Dispatches a queued request if there is a place. Returns whether it left the queue.
    fn try_dispatch(&mut self, scope: &mut Scope, request: &RequestId, full: &mut Full) -> bool {
        let now = scope.context.now;
        let is_suspect = self.is_suspect(now, request);
        let Some(entry) = self.entries.get(request) else {
            return true;
        };
        if let Some(remaining) = self.quarantine.blocked_for(now, entry.fingerprint) {
            let blocked = refusal(RefusalKind::Quarantined, remaining);
            self.refuse_now(scope, request, blocked);
            return true;
        }
        let class = (entry.resource.clone(), entry.is_short, is_suspect);
        let must_wait = self.quarantine.must_wait(now, entry.fingerprint, request);
        if must_wait || full.contains(&class) || !self.may_start_first(scope, entry) {
            return false;
        }
        if entry.is_non_repeatable() && !scope.claims.may_dispatch(now, request) {
            let late = refusal(RefusalKind::Deadline, Duration::from_secs(1));
            self.refuse_now(scope, request, late);
            return true;
        }
        let query = entry.query(is_suspect);
        match self
            .router
            .choose(&scope.view, &query, &mut scope.context.random)
        {
            Ok(choice) => {
                let payload = Payload {
                    choice: Some(choice),
                    ..Payload::default()
                };
                self.step(scope, request, RequestEvent::Dispatched, payload);
                true
            }
            Err(Blocked::Full) => {
                full.insert(class);
                false
            }
            Err(Blocked::NoTarget) => {
                full.insert(class);
                self.without_target(scope, request)
            }
        }
    }

    /// Whether the concurrency limit lets a request start that did not come from the queue of its
    /// account. A request that ran before keeps its place.
    fn may_start_first(&self, scope: &Scope, entry: &Entry) -> bool {
        let key = self.entries.key(&entry.request);
        let is_first = key.is_some_and(|key| self.first.contains(&key));
        if entry.attempt > 0 || entry.is_accepted_stream() || !is_first {
            return true;
        }
        let limit = plan(scope.lists, &entry.account).max_concurrent_count;
        let (now, wall) = (scope.context.now, scope.context.wall);
        let identity = scope.view.identity;
        self.limits
            .may_start(now, wall, identity, &entry.account, limit)
    }

    /// Refuses a request whose targets are gone for too long. Returns whether it left the queue.
    fn without_target(&mut self, scope: &mut Scope, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get(request) else {
            return true;
        };
        let waited = scope
            .context
            .now
            .saturating_sub(entry.retry_at.max(entry.arrived_at));
        if entry.is_accepted_stream() || waited < NO_TARGET_GRACE {
            return false;
        }
        let gone = refusal(RefusalKind::NoTarget, Duration::from_secs(1));
        self.refuse_now(scope, request, gone);
        true
    }

    /// Whether a request waits for a suspect, or for one of its own fingerprint, to end.
    fn waits_for_another(&self, now: Duration, request: &RequestId) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| {
            self.quarantine.is_suspect(now, entry.fingerprint)
                || self.quarantine.must_wait(now, entry.fingerprint, request)
        })
    }

    pub(crate) fn is_suspect(&self, now: Duration, request: &RequestId) -> bool {
        let entry = self.entries.get(request);
        entry.is_some_and(|entry| self.quarantine.is_suspect(now, entry.fingerprint))
    }

    /// Sends the next attempt over the chosen route.
    pub(crate) fn dispatch(
        &mut self,
        scope: &mut Scope,
        request: &RequestId,
        payload: &mut Payload,
    ) {
        let now = scope.context.now;
        let is_suspect = self.is_suspect(now, request);
        let (Some(entry), Some(choice)) = (self.entries.get_mut(request), payload.choice.take())
        else {
            return;
        };
        entry.attempt += 1;
        entry.progressed_at = now;
        entry.started_at = now;
        entry.token_ms = choice.token_ms;
        entry.was_suspect = is_suspect;
        entry.priority = generation_priority(
            &self.settings.admission,
            entry.expected_tokens,
            entry.delivered_tokens,
            Duration::ZERO,
        );
        self.limits.change(&entry.account, 1, 0);
        self.quarantine
            .record_dispatch(now, entry.fingerprint, request);
        let limit = self.settings.route.cache_prefix_count;
        for stage in &choice.route.stages {
            self.router
                .slots
                .start(now, request, &stage.target, is_suspect);
            let hashes = entry.query(false).prefix_hashes;
            self.router
                .caches
                .dispatched(now, &stage.target, hashes, limit);
        }
        scope.context.push(Command::Log(Decision {
            account: Some(entry.account.clone()),
            alternatives: choice.alternatives,
            chosen: choice.chosen,
            kind: "route",
            reason: reason(entry, is_suspect).into(),
            subject: request.clone(),
        }));
        if let Some(command) = send(entry, &choice.route, scope.members) {
            scope.context.push(command);
        }
        entry.route = Some(choice.route);
    }
}

fn reason(entry: &Entry, is_suspect: bool) -> String {
    let class = if entry.is_short { "short" } else { "long" };
    let suspect = if is_suspect {
        ", apart from other suspects"
    } else {
        ""
    };
    let retry = match &entry.avoid_domain {
        None => String::new(),
        Some(domain) => format!(", after a failure in {domain}"),
    };
    format!(
        "two random good candidates, attempt {}, {class}{retry}{suspect}",
        entry.attempt
    )
}

fn send(entry: &Entry, route: &Route, members: &Members) -> Option<Command> {
    let first = route.stages.first()?;
    let mut hasher = DefaultHasher::new();
    entry.request.hash(&mut hasher);
    Some(match entry.job {
        Job::Call(_) => Command::DispatchCall {
            address: first.address,
            attempt: entry.attempt,
            request: entry.request.clone(),
            target: first.target.clone(),
        },
        Job::Generate(_) => Command::DispatchGenerate {
            attempt: entry.attempt,
            backup: members.backup_for(hasher.finish()),
            priority: entry.priority,
            request: entry.request.clone(),
            route: route.clone(),
        },
    })
}
