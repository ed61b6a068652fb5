use super::*;

/// What the node must do after the record has processed an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Sends the caller its final answer.
    Answer {
        /// Outcome that the caller is told.
        outcome: CallOutcome,
        /// Request to answer.
        request: RequestId,
    },
    /// Dispatches the call: its claim is durable.
    ClaimConfirmed {
        /// Request that made the claim.
        request: RequestId,
    },
}

/// Record of the non-repeatable calls of one instance. Only the control thread uses it.
///
/// A key is claimed by one conditional write with a fresh nonce, and only the process that created
/// the nonce dispatches under it. A claim whose reply was lost may still take effect at any later
/// time. It is fenced by a later write to the row, which moves the row past the version that the
/// condition of the claim requires.
#[derive(Clone, Debug)]
pub struct Records {
    pub(crate) entries: BTreeMap<Arc<str>, CallEntry>,
    pub(crate) store_calls: BTreeMap<StoreTicket, StoreCall>,
    pub(crate) store_breaker: StoreBreaker,
    pub(crate) identity: Identity,
    pub(crate) nonces: BTreeMap<Nonce, Arc<str>>,
    pub(crate) outbox: Outbox,
    /// Peers that have sent a heartbeat and were not down at the last tick, with their addresses.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) requests: BTreeMap<RequestId, Arc<str>>,
    pub(crate) settings: RecordSettings,
    pub(crate) sweep: Sweep,
}

/// Request to the store whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum StoreCall {
    /// Writes the row of one key.
    Change {
        /// Event to apply when the write is committed.
        event: CallEvent,
        key: Arc<str>,
        /// Nonce of the entry. Differs from the nonce of the row when the write marks the claim of
        /// another instance as unknown.
        nonce: Nonce,
        /// Row as written.
        row: CallRow,
    },
    /// Writes a batch of outcomes, by key.
    Outcomes(Vec<(Arc<str>, CallRow)>),
    /// Reads the row of one key. The reply is ignored if the entry has another nonce by then.
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

    /// Claims the key of a call, or joins the call that already has it. The submission must carry a
    /// key.
    pub fn submit(&mut self, context: &mut Context, call: &CallSubmission) -> Vec<RecordEffect> {
        let Some(caller_key) = &call.key else {
            context.log(
                "record",
                &call.request,
                "non-repeatable call was submitted without a key",
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
                // The call may run for the callers that already wait, so `NotRun` could be false.
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
    /// no answer yet, and the dispatch window, which starts when the claim is first sent, is open.
    /// Must be checked before each dispatch.
    #[must_use]
    pub fn may_dispatch(&self, now: Duration, request: &RequestId) -> bool {
        let Some(entry) = self.primary(request) else {
            return false;
        };
        entry.state == CallState::Claimed && self.is_window_open(entry, now)
    }

    /// Records the reply of a target.
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

    /// Records that the call did not run and will not be dispatched.
    pub fn call_not_run(
        &mut self,
        context: &mut Context,
        request: &RequestId,
        refusal: Refusal,
    ) -> Vec<RecordEffect> {
        let outcome = CallOutcome::NotRun(refusal);
        self.end_call(context, request, CallEvent::Refused, outcome)
    }

    /// Records that the call may have run: its connection broke after bytes were sent, or its
    /// deadline passed.
    pub fn call_lost(&mut self, context: &mut Context, request: &RequestId) -> Vec<RecordEffect> {
        self.end_call(context, request, CallEvent::Lost, CallOutcome::Unknown)
    }

    /// Answer to a peer that asks for the state of a claim.
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

    /// Answer to a peer that asks by key because it could not read the row. Only a durable claim
    /// counts, as the peer acts on the answer as if it had read the row.
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

    /// Processes the answer to `Command::AskOwner`.
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

    /// Number of calls in memory, running and ended.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Time by which `tick` is due so that no outcome waits longer than `batch_ms`; none if no
    /// outcome waits.
    #[must_use]
    pub fn flush_at(&self) -> Option<Duration> {
        let due_at = self.outbox.due_at(&self.settings)?;
        Some(due_at.max(self.store_breaker.retry_at()))
    }

    /// Time by which `tick` is due for outcomes, retries and answers of peers.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let idle = self.entries.values().filter(|entry| !entry.in_flight);
        let retries = idle.filter_map(|entry| match entry.state {
            CallState::Asking => Some(entry.answers_due_at),
            _ => entry.retry_at,
        });
        retries.chain(self.flush_at()).min()
    }

    /// Whether the call may still be dispatched: `window_ms` since the claim was sent and the
    /// deadline of the call have not passed.
    pub(crate) fn is_window_open(&self, entry: &CallEntry, now: Duration) -> bool {
        let window = Duration::from_millis(self.settings.window_ms);
        now.saturating_sub(entry.claim_sent_at) <= window && now <= entry.deadline_at
    }

    /// Effect that tells a caller that its call did not run.
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

    /// Removes a key with its nonce and requests.
    pub(crate) fn remove(&mut self, key: &Arc<str>) -> Option<CallEntry> {
        let entry = self.entries.remove(key)?;
        self.nonces.remove(&entry.nonce);
        self.requests.remove(&entry.primary);
        for request in &entry.requests {
            self.requests.remove(request);
        }
        Some(entry)
    }

    /// Entry that the request claimed; none if it joined the call of another request.
    fn primary(&self, request: &RequestId) -> Option<&CallEntry> {
        let key = self.requests.get(request)?;
        let entry = self.entries.get(key)?;
        (entry.primary == *request).then_some(entry)
    }

    /// Key and entry of the call that a request waits for.
    fn entry_of(&mut self, request: &RequestId) -> Option<(Arc<str>, &mut CallEntry)> {
        let key = self.requests.get(request)?.clone();
        let entry = self.entries.get_mut(&key)?;
        Some((key, entry))
    }

    /// Ends the call if the request claimed it; otherwise only the request stops waiting for it.
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
        // The request only joined the call, which goes on for the other callers.
        entry.requests.retain(|waiting| waiting != request);
        self.requests.remove(request);
        effects.push(RecordEffect::Answer {
            outcome: CallOutcome::Unknown,
            request: request.clone(),
        });
        effects
    }
}
