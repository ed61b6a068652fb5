use super::*;

/// All requests of this instance, with their queues and limits and the observations that routing
/// and admission use.
#[derive(Debug)]
pub struct Requests {
    pub(crate) admission: Admission,
    pub(crate) budget: RetryBudget,
    pub(crate) entries: RequestTable,
    /// Queued requests that are served before the accounts' queues, in order of arrival: those that
    /// were accepted earlier, and those that wait for another request rather than for capacity.
    pub(crate) front_queue: VecDeque<RequestKey>,
    pub(crate) history: SizeHistory,
    pub(crate) is_draining: bool,
    pub(crate) limits: ConcurrencyLimits,
    pub(crate) next_observation_at: Duration,
    pub(crate) quarantine: Quarantine,
    pub(crate) router: Router,
    pub(crate) settings: NodeSettings,
}

/// Parts of the node that are needed to handle one event of a request.
pub struct RequestEnv<'a> {
    /// Records of non-repeatable calls.
    pub claims: &'a mut dyn Claims,
    /// Time, random numbers and the commands to send.
    pub context: &'a mut Context,
    /// Whether the configuration is known to be current.
    pub is_fresh: bool,
    /// Accounts and plans.
    pub lists: &'a OperatorLists,
    /// Targets and peers.
    pub members: &'a Members,
    /// Input of routing decisions.
    pub view: RoutingView<'a>,
}

/// Data of an event that the actions of its step use.
#[derive(Debug, Default)]
pub(crate) struct Payload {
    pub(crate) choice: Option<RouteChoice>,
    pub(crate) refusal: Option<Refusal>,
    pub(crate) reply: Option<CallReply>,
    /// Number of tokens delivered so far, or of the whole answer if the event is `Completed`.
    pub(crate) tokens: u32,
}

impl Requests {
    /// Creates a state without requests or observations.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            admission: Admission::new(settings.admission.clone()),
            budget: RetryBudget::new(settings.retry.clone()),
            entries: RequestTable::default(),
            front_queue: VecDeque::new(),
            history: SizeHistory::default(),
            is_draining: false,
            limits: ConcurrencyLimits::default(),
            next_observation_at: Duration::ZERO,
            quarantine: Quarantine::new(settings.quarantine.clone()),
            router: Router::new(settings.route.clone(), &settings.admission),
            settings,
        }
    }

    /// Whether all requests have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Targets to which requests of this instance are dispatched.
    pub(crate) fn targets_in_use(&self) -> BTreeSet<TargetId> {
        self.entries
            .values()
            .flat_map(ActiveRequest::targets)
            .collect()
    }

    /// Refuses new requests from now on. Those that were admitted before run to their end.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Advances the state chart of a request and performs the actions of the step. An event that
    /// the chart does not list in the current state is logged and counted.
    pub(crate) fn step(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        event: RequestEvent,
        mut payload: Payload,
    ) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        let actions = match entry.step(event) {
            Ok(actions) => actions,
            Err(error) => {
                env.context.log_unexpected(request, &error);
                return;
            }
        };
        let is_ended = entry.state == RequestState::Ended;
        let mut effects = Vec::new();
        for action in actions {
            effects.extend(self.perform(env, request, action, &mut payload));
        }
        if is_ended {
            self.entries.remove(request);
        }
        self.apply_effects(env, effects);
    }

    /// Applies decisions of the records of non-repeatable calls.
    pub fn apply_effects(&mut self, env: &mut RequestEnv, effects: Vec<RecordEffect>) {
        for effect in effects {
            match effect {
                RecordEffect::Answer { outcome, request } => {
                    self.step(env, &request, RequestEvent::Answered, Payload::default());
                    env.context.push(Command::AnswerCall { outcome, request });
                }
                RecordEffect::ClaimConfirmed { request } => self.claim_cleared(env, &request),
            }
        }
    }

    fn perform(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        action: RequestAction,
        payload: &mut Payload,
    ) -> Vec<RecordEffect> {
        match action {
            RequestAction::Answer => return self.answer(env, request, payload),
            RequestAction::Cancel => self.cancel(env, request),
            RequestAction::Dequeue => self.dequeue(request),
            RequestAction::Dispatch => self.dispatch(env, request, payload),
            RequestAction::Enqueue => self.enqueue(env, request),
            RequestAction::EnqueueFirst => self.enqueue_front(request),
            RequestAction::Free => self.release_targets(env, request),
            RequestAction::Learn => self.record_size(env, request, payload),
            RequestAction::NoteProgress => self.note_progress(env, request, payload),
            RequestAction::Refuse => return self.refuse(env, request, payload),
        }
        Vec::new()
    }

    fn answer(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        payload: &mut Payload,
    ) -> Vec<RecordEffect> {
        let Some(reply) = payload.reply.take() else {
            return Vec::new();
        };
        if self
            .entries
            .get(request)
            .is_some_and(ActiveRequest::is_non_repeatable)
        {
            return env.claims.call_completed(env.context, request, reply);
        }
        env.context.push(Command::AnswerCall {
            outcome: CallOutcome::Ran(reply),
            request: request.clone(),
        });
        Vec::new()
    }

    fn cancel(&mut self, env: &mut RequestEnv, request: &RequestId) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        let Some(route) = entry.route.clone() else {
            return;
        };
        env.context.push(Command::Cancel {
            attempt: entry.attempt,
            request: request.clone(),
            route,
        });
    }

    fn dequeue(&mut self, request: &RequestId) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        self.limits.adjust(&entry.account, 0, -1);
        let key = self.entries.key(request);
        self.front_queue.retain(|queued| Some(*queued) != key);
        self.admission
            .remove(&entry.resource, &entry.account, request);
    }

    fn enqueue(&mut self, env: &RequestEnv, request: &RequestId) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        self.limits.adjust(&entry.account, 0, 1);
        let waiting = QueuedRequest {
            account: entry.account.clone(),
            cost: entry.size,
            is_short: entry.is_short,
            request: request.clone(),
            queued_at: env.context.now,
            weight: f64::from(account_plan(env.lists, &entry.account).share_weight.max(1)),
        };
        self.admission.push(&entry.resource, waiting);
    }

    fn enqueue_front(&mut self, request: &RequestId) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        self.limits.adjust(&entry.account, 0, 1);
        self.front_queue.extend(self.entries.key(request));
    }

    fn release_targets(&mut self, env: &RequestEnv, request: &RequestId) {
        let Some(entry) = self.entries.get_mut(request) else {
            return;
        };
        self.router
            .load_estimator
            .end(env.context.now, request, &entry.targets());
        self.limits.adjust(&entry.account, -1, 0);
        entry.replace_at = None;
        entry.replacement = None;
        self.quarantine.end_trial(entry.fingerprint, request);
        entry.route = None;
    }

    fn record_size(&mut self, env: &RequestEnv, request: &RequestId, payload: &Payload) {
        let Some(entry) = self.entries.get(request) else {
            return;
        };
        let size = match entry.submission {
            Submission::Call(_) => {
                let ran = env.context.now.saturating_sub(entry.started_at);
                ran.as_secs_f64() * 1_000.0
            }
            Submission::Generate(_) => f64::from(payload.tokens),
        };
        self.history.observe(&entry.account, &entry.kind, size);
        self.quarantine
            .record_success(env.context.now, entry.fingerprint, request);
    }

    fn refuse(
        &mut self,
        env: &mut RequestEnv,
        request: &RequestId,
        payload: &mut Payload,
    ) -> Vec<RecordEffect> {
        let (Some(entry), Some(refusal)) = (self.entries.get(request), payload.refusal.take())
        else {
            return Vec::new();
        };
        env.context.push(Command::Log(Decision {
            account: Some(entry.account.clone()),
            alternatives: Vec::new(),
            chosen: Vec::new(),
            kind: "refuse",
            reason: format!("{:?}, retry after {:?}", refusal.kind, refusal.retry_after).into(),
            subject: request.clone(),
        }));
        match &entry.submission {
            Submission::Call(_) if entry.is_non_repeatable() => {
                return env.claims.call_not_run(env.context, request, refusal);
            }
            Submission::Call(_) => {
                // An earlier attempt may have run, and "not run" must only be reported if certain.
                let outcome = if entry.may_have_run {
                    CallOutcome::Unknown
                } else {
                    CallOutcome::NotRun(refusal)
                };
                env.context.push(Command::AnswerCall {
                    outcome,
                    request: request.clone(),
                });
            }
            Submission::Generate(_) => env.context.push(Command::Refuse {
                refusal,
                request: request.clone(),
            }),
        }
        Vec::new()
    }
}

/// Plan of an account. Callers are authenticated before they get here, so an account that is not in
/// the lists was deleted a moment ago. Its remaining requests get the default plan.
pub(crate) fn account_plan(lists: &OperatorLists, account: &AccountId) -> Plan {
    let entry = lists.accounts.get(account);
    let plan = entry.and_then(|entry| lists.plans.get(&entry.plan));
    plan.cloned().unwrap_or_default()
}
