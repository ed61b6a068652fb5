use super::*;

/// What the node does after a step of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Give the caller its final answer.
    Answer {
        /// Answer.
        outcome: CallOutcome,
        /// Request.
        request: RequestId,
    },
    /// The claim is durable: the node may dispatch now.
    ClaimConfirmed {
        /// Request.
        request: RequestId,
    },
}

/// Record of non-repeatable calls at one instance. Belongs to the control thread.
///
/// The claim of a key is one conditional write with a fresh nonce, and only the process that made
/// the nonce dispatches under it. A claim whose reply was lost may take effect at any later time;
/// it is fenced by giving the row a version that the claim's condition does not accept.
#[derive(Clone, Debug)]
pub struct Records {
    pub(crate) entries: BTreeMap<Arc<str>, CallEntry>,
    pub(crate) store_calls: BTreeMap<StoreTicket, StoreCall>,
    pub(crate) store_breaker: StoreBreaker,
    pub(crate) identity: Identity,
    pub(crate) nonces: BTreeMap<Nonce, Arc<str>>,
    pub(crate) outbox: Outbox,
    /// Live peers, from the last tick.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) requests: BTreeMap<RequestId, Arc<str>>,
    pub(crate) settings: RecordSettings,
    pub(crate) sweep: Sweep,
}

/// Request to the store that waits for its reply.
#[derive(Clone, Debug)]
pub(crate) enum StoreCall {
    /// Writes the row of one key; holds the row that it writes.
    Change {
        event: CallEvent,
        key: Arc<str>,
        /// Nonce of the entry, which differs from that of the row when it marks another's claim.
        nonce: Nonce,
        row: CallRow,
    },
    /// Writes outcomes.
    Outcomes(Vec<(Arc<str>, CallRow)>),
    /// Reads the row of one key for the holder of the nonce.
    Read { key: Arc<str>, nonce: Nonce },
}

impl Records {
    /// Creates an empty record.
    #[must_use]
    pub fn new(identity: Identity, settings: RecordSettings) -> Self {
        Self {
            entries: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            store_breaker: StoreBreaker::default(),
            identity,
            nonces: BTreeMap::new(),
            outbox: Outbox::default(),
            peers: Vec::new(),
            requests: BTreeMap::new(),
            settings,
            sweep: Sweep::default(),
        }
    }

    /// Starts or joins the call of a key. The submission must carry a key.
    pub fn submit(&mut self, context: &mut Context, call: &CallSubmission) -> Vec<RecordEffect> {
        let Some(caller_key) = &call.key else {
            context.log(
                "record",
                &call.request,
                "a call without a key was submitted",
            );
            return vec![self.refuse(&call.request, RefusalKind::Limit)];
        };
        let key = call_key(&call.account, caller_key);
        let Some(entry) = self.entries.get_mut(&key) else {
            return self.claim(context, &key, call, None);
        };
        let request = call.request.clone();
        if entry.body_hash != call.body_hash {
            let outcome = CallOutcome::KeyMismatch;
            return vec![RecordEffect::Answer { outcome, request }];
        }
        let is_durable = entry.is_durable();
        match entry.state {
            CallState::NotRun if is_durable => {
                let old = self.remove(&key);
                self.claim(context, &key, call, old)
            }
            CallState::Abandoned | CallState::NotRun => {
                vec![self.refuse(&request, RefusalKind::StoreUnavailable)]
            }
            CallState::Ran | CallState::Unknown => {
                let outcome = entry.outcome.clone().unwrap_or(CallOutcome::Unknown);
                vec![RecordEffect::Answer { outcome, request }]
            }
            _ if entry.requests.len() >= self.settings.max_waiting_count => {
                // The call may run for the callers that wait, so `not run` would be false.
                let outcome = CallOutcome::Unknown;
                vec![RecordEffect::Answer { outcome, request }]
            }
            _ => {
                entry.requests.push(request.clone());
                self.requests.insert(request, key);
                Vec::new()
            }
        }
    }

    /// Whether the request may be sent to a target at `now`: its claim is durable, its caller has
    /// no answer, and the window since the claim was first sent is open. To be asked before each
    /// dispatch.
    #[must_use]
    pub fn may_dispatch(&self, now: Duration, request: &RequestId) -> bool {
        let Some(entry) = self.primary(request) else {
            return false;
        };
        entry.state == CallState::Claimed && self.is_window_open(entry, now)
    }

    /// A target replied.
    pub fn call_completed(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        reply: CallReply,
    ) -> Vec<RecordEffect> {
        self.end_call(
            context,
            request,
            CallEvent::Completed,
            CallOutcome::Ran(reply),
        )
    }

    /// Nothing was run, and nothing will be dispatched.
    pub fn call_not_run(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<RecordEffect> {
        let outcome = CallOutcome::NotRun(refusal);
        self.end_call(context, request, CallEvent::Refused, outcome)
    }

    /// The call may have run: its connection broke after bytes were sent, or its deadline passed.
    pub fn call_lost(&mut self, context: &mut Context, request: &RequestId) -> Vec<RecordEffect> {
        self.end_call(context, request, CallEvent::Lost, CallOutcome::Unknown)
    }

    /// What this process says of a claim when a peer asks.
    #[must_use]
    pub fn owner_status(&self, query: &CallQuery) -> OwnerStatus {
        let key = match query {
            CallQuery::Key { body_hash, key } => return self.key_status(body_hash, key),
            CallQuery::Nonce(nonce) => self.nonces.get(nonce),
        };
        let entry = key.and_then(|key| self.entries.get(key));
        let Some(entry) = entry else {
            return OwnerStatus::UnknownClaim;
        };
        match entry.state {
            CallState::Abandoned | CallState::NotRun | CallState::Ran | CallState::Unknown => {
                let outcome = entry.outcome.clone();
                OwnerStatus::Ended(outcome.unwrap_or(CallOutcome::Unknown))
            }
            CallState::Claimed | CallState::Claiming | CallState::Resolving => OwnerStatus::Running,
            CallState::Asking
            | CallState::Closed
            | CallState::Following
            | CallState::Marking
            | CallState::Relaying => OwnerStatus::UnknownClaim,
        }
    }

    /// What this process knows of a key of which a peer has no claim. Only a durable claim counts:
    /// the peer acts on the answer as if it had read the row.
    fn key_status(&self, body_hash: &Arc<str>, key: &Arc<str>) -> OwnerStatus {
        let Some(entry) = self.entries.get(key) else {
            return OwnerStatus::UnknownClaim;
        };
        match entry.state {
            CallState::Claimed | CallState::Ran | CallState::Unknown
                if entry.body_hash != *body_hash =>
            {
                OwnerStatus::Ended(CallOutcome::KeyMismatch)
            }
            CallState::Claimed => OwnerStatus::Running,
            CallState::Ran | CallState::Unknown => {
                let outcome = entry.outcome.clone();
                OwnerStatus::Ended(outcome.unwrap_or(CallOutcome::Unknown))
            }
            _ => OwnerStatus::UnknownClaim,
        }
    }

    /// Takes the answer to `Command::AskOwner`.
    pub fn owner_answered(
        &mut self,
        context: &mut Context,
        owner: &InstanceId,
        request: &RequestId,
        status: OwnerStatus,
    ) -> Vec<RecordEffect> {
        let mut effects = Vec::new();
        let Some((key, entry)) = self.entry_of(request) else {
            return effects;
        };
        let classified = match entry.state {
            CallState::Asking | CallState::Relaying | CallState::Resolving => {
                Self::classify_answer(entry, owner, status)
            }
            CallState::Following => Some(match status {
                OwnerStatus::Ended(outcome) => (CallEvent::OwnerEnded, Some(outcome)),
                OwnerStatus::NoReply => (CallEvent::OwnerSilent, None),
                OwnerStatus::Running => (CallEvent::OwnerRunning, None),
                OwnerStatus::UnknownClaim => (CallEvent::OwnerGone, None),
            }),
            _ => None,
        };
        if let Some((event, outcome)) = classified {
            self.apply(context, &key, event, outcome, &mut effects);
        }
        effects
    }

    /// Number of calls in memory.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Time by which `tick` is due, so that no outcome waits longer than the batch time.
    #[must_use]
    pub fn flush_at(&self) -> Option<Duration> {
        let due_at = self.outbox.due_at(&self.settings)?;
        Some(due_at.max(self.store_breaker.retry_at()))
    }

    /// Time by which `tick` is due for the outcomes and the retries of this record.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let idle = self.entries.values().filter(|entry| !entry.in_flight);
        let retries = idle.filter_map(|entry| match entry.state {
            CallState::Asking => Some(entry.answers_due_at),
            _ => entry.retry_at,
        });
        retries.chain(self.flush_at()).min()
    }

    pub(crate) fn is_window_open(&self, entry: &CallEntry, now: Duration) -> bool {
        let window = Duration::from_millis(self.settings.window_ms);
        now.saturating_sub(entry.claim_sent_at) <= window && now <= entry.deadline_at
    }

    pub(crate) fn refuse(&self, request: &RequestId, kind: RefusalKind) -> RecordEffect {
        RecordEffect::Answer {
            outcome: CallOutcome::NotRun(self.refusal(kind)),
            request: request.clone(),
        }
    }

    pub(crate) fn refusal(&self, kind: RefusalKind) -> Refusal {
        Refusal {
            kind,
            retry_after: Duration::from_millis(self.settings.retry_after_ms),
        }
    }

    /// Forgets a key.
    pub(crate) fn remove(&mut self, key: &Arc<str>) -> Option<CallEntry> {
        let entry = self.entries.remove(key)?;
        self.nonces.remove(&entry.nonce);
        self.requests.remove(&entry.primary);
        for request in &entry.requests {
            self.requests.remove(request);
        }
        Some(entry)
    }

    fn primary(&self, request: &RequestId) -> Option<&CallEntry> {
        let key = self.requests.get(request)?;
        let entry = self.entries.get(key)?;
        (entry.primary == *request).then_some(entry)
    }

    /// Call that a request waits for, with its key.
    fn entry_of(&mut self, request: &RequestId) -> Option<(Arc<str>, &mut CallEntry)> {
        let key = self.requests.get(request)?.clone();
        let entry = self.entries.get_mut(&key)?;
        Some((key, entry))
    }

    fn end_call(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        event: CallEvent,
        outcome: CallOutcome,
    ) -> Vec<RecordEffect> {
        let mut effects = Vec::new();
        let Some((key, entry)) = self.entry_of(request) else {
            return effects;
        };
        if entry.primary == *request {
            self.apply(context, &key, event, Some(outcome), &mut effects);
            return effects;
        }
        // A caller that joined gives up; the call goes on for the others.
        entry.requests.retain(|waiting| waiting != request);
        self.requests.remove(request);
        effects.push(RecordEffect::Answer {
            outcome: CallOutcome::Unknown,
            request: request.clone(),
        });
        effects
    }
}
