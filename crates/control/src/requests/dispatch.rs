use super::*;

/// Time for which a queued request waits if no route exists, because a replacement target may be
/// starting.
const NO_TARGET_GRACE: Duration = Duration::from_secs(2);

/// Classes of requests that found no route in the current pass: the resource, whether they are
/// short, and whether they are suspect.
type FullClasses = BTreeSet<(Resource, bool, bool)>;

impl Requests {
    /// Dispatches queued requests while there is capacity: first those of the front queue, then
    /// those of the accounts' queues.
    pub fn dispatch_ready(&mut self, env: &mut RequestEnv) {
        let mut full_classes = FullClasses::new();
        for key in self.front_queue.clone() {
            let Some(request) = self.entries.request(key).cloned() else {
                continue;
            };
            self.try_dispatch(env, &request, &mut full_classes);
        }
        for resource in self.admission.resources() {
            self.dispatch_queue(env, &resource, &mut full_classes);
        }
    }

    fn dispatch_queue(
        &mut self,
        env: &mut RequestEnv,
        resource: &Resource,
        full_classes: &mut FullClasses,
    ) {
        let now = env.context.now;
        loop {
            let (limits, context, identity) = (&self.limits, &*env.context, env.view.identity);
            let mut may_start = |head: &QueuedRequest| {
                let class = (resource.clone(), head.is_short, false);
                let limit = account_plan(env.lists, &head.account).max_concurrent_count;
                !full_classes.contains(&class)
                    && limits.may_start(now, context.wall, identity, &head.account, limit)
            };
            let Some(waiting) = self.admission.pop_next(resource, now, &mut may_start) else {
                return;
            };
            if self.try_dispatch(env, &waiting.request, full_classes) {
                continue;
            }
            let entry = self.entries.get(&waiting.request);
            let is_queued = entry.is_some_and(|entry| entry.state == RequestState::Queued);
            if is_queued && self.waits_for_another(now, &waiting.request) {
                // Waits for another request rather than for capacity, and must not block its queue.
                self.front_queue.extend(self.entries.key(&waiting.request));
            } else if is_queued {
                self.admission.put_back(resource, waiting);
            }
        }
    }

    /// Dispatches a queued request if there is capacity, or refuses it if it can no longer run.
    /// Returns whether it left the queue.
    fn try_dispatch(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        full_classes: &mut FullClasses,
    ) -> bool {
        let now = env.context.now;
        let is_suspect = self.is_suspect(now, request);
        let Some(entry) = self.entries.get(request) else {
            return true;
        };
        if let Some(remaining) = self.quarantine.blocked_for(now, entry.fingerprint) {
            let blocked = refusal(RefusalKind::Quarantined, remaining);
            self.refuse_now(env, request, blocked);
            return true;
        }
        let class = (entry.resource.clone(), entry.is_short, is_suspect);
        let must_wait = self.quarantine.must_wait(now, entry.fingerprint, request);
        if must_wait
            || full_classes.contains(&class)
            || !self.may_start_from_front_queue(env, entry)
        {
            return false;
        }
        if entry.is_non_repeatable() && !env.claims.may_dispatch(now, request) {
            let deadline_refusal = refusal(RefusalKind::Deadline, Duration::from_secs(1));
            self.refuse_now(env, request, deadline_refusal);
            return true;
        }
        let query = entry.query(is_suspect);
        match self
            .router
            .choose(&env.view, &query, &mut env.context.random)
        {
            Ok(choice) => {
                let payload = Payload {
                    choice: Some(choice),
                    ..Payload::default()
                };
                self.step(env, request, RequestEvent::Dispatched, payload);
                true
            }
            Err(NoRoute::Full) => {
                full_classes.insert(class);
                false
            }
            Err(NoRoute::NoTarget) => {
                full_classes.insert(class);
                self.refuse_without_target(env, request)
            }
        }
    }

    /// Whether the concurrency limit of the account allows a request to start that is in the front
    /// queue. A request that ran before is not subject to the limit again.
    fn may_start_from_front_queue(&self, env: &RequestEnv, entry: &ActiveRequest) -> bool {
        let key = self.entries.key(&entry.request);
        let is_in_front_queue = key.is_some_and(|key| self.front_queue.contains(&key));
        if entry.attempt > 0 || entry.is_accepted_stream() || !is_in_front_queue {
            return true;
        }
        let limit = account_plan(env.lists, &entry.account).max_concurrent_count;
        let (now, wall) = (env.context.now, env.context.wall);
        let identity = env.view.identity;
        self.limits
            .may_start(now, wall, identity, &entry.account, limit)
    }

    /// Refuses a request that has had no route for `NO_TARGET_GRACE`, unless it is an accepted
    /// stream. Returns whether it left the queue.
    fn refuse_without_target(&mut self, env: &mut RequestEnv, request: &RequestId) -> bool {
        let Some(entry) = self.entries.get(request) else {
            return true;
        };
        let waited = env
            .context
            .now
            .saturating_sub(entry.retry_at.max(entry.arrived_at));
        if entry.is_accepted_stream() || waited < NO_TARGET_GRACE {
            return false;
        }
        let target_refusal = refusal(RefusalKind::NoTarget, Duration::from_secs(1));
        self.refuse_now(env, request, target_refusal);
        true
    }

    /// Whether a request waits for another one to end: a suspect one because suspect requests share
    /// no target, others for the first request of their fingerprint.
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

    /// Starts the next attempt on the chosen route.
    pub(crate) fn dispatch(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        payload: &mut Payload,
    ) {
        let now = env.context.now;
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
        self.limits.adjust(&entry.account, 1, 0);
        self.quarantine
            .record_dispatch(now, entry.fingerprint, request);
        let limit = self.settings.route.cache_prefix_count;
        for stage in &choice.route.stages {
            self.router
                .load_estimator
                .start(now, request, &stage.target, is_suspect);
            let hashes = entry.query(false).prefix_hashes;
            self.router
                .caches
                .dispatched(now, &stage.target, hashes, limit);
        }
        env.context.push(Command::Log(Decision {
            account: Some(entry.account.clone()),
            alternatives: choice.alternatives,
            chosen: choice.chosen,
            kind: "route",
            reason: dispatch_reason(entry, is_suspect).into(),
            subject: request.clone(),
        }));
        if let Some(command) = dispatch_command(entry, &choice.route, env.members) {
            env.context.push(command);
        }
        entry.route = Some(choice.route);
    }
}

fn dispatch_reason(entry: &ActiveRequest, is_suspect: bool) -> String {
    let class = if entry.is_short { "short" } else { "long" };
    let suspect = if is_suspect {
        ", apart from other suspect requests"
    } else {
        ""
    };
    let retry = match &entry.avoid_domain {
        None => String::new(),
        Some(domain) => format!(", after a failure in {domain}"),
    };
    format!(
        "better of two random near-best candidates, attempt {}, {class}{retry}{suspect}",
        entry.attempt
    )
}

fn dispatch_command(entry: &ActiveRequest, route: &Route, members: &Members) -> Option<Command> {
    let first = route.stages.first()?;
    let mut hasher = DefaultHasher::new();
    entry.request.hash(&mut hasher);
    Some(match entry.submission {
        Submission::Call(_) => Command::DispatchCall {
            address: first.address,
            attempt: entry.attempt,
            request: entry.request.clone(),
            target: first.target.clone(),
        },
        Submission::Generate(_) => Command::DispatchGenerate {
            attempt: entry.attempt,
            backup: members.journal_backup(hasher.finish()),
            priority: entry.priority,
            request: entry.request.clone(),
            route: route.clone(),
        },
    })
}
