use super::*;

impl Records {
    /// Sends the first claim of a key. `previous` is the ended call that it replaces.
    pub(crate) fn claim(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        call: &CallSubmission,
        previous: Option<CallEntry>,
    ) -> Vec<RecordEffect> {
        if !self.ensure_capacity() {
            // The row was not read, so it is not known whether the key was submitted before.
            return vec![self.refuse(&call.request, RefusalKind::StoreUnavailable)];
        }
        let nonce: Nonce = format!("{:032x}", context.random.random::<u128>()).into();
        let (row, row_version) =
            previous.map_or((None, 0), |previous| (previous.row, previous.row_version));
        let entry = CallEntry {
            next_ask_at: context.now,
            answers_due_at: context.now,
            pending_peers: BTreeSet::new(),
            claim_sent_at: context.now,
            body_hash: call.body_hash.clone(),
            claim_version: 0,
            deadline_at: context.now + call.deadline,
            ended_at: None,
            expires_ms: wall_ms(context) + self.settings.retention_ms,
            following_since: context.now,
            in_flight: false,
            nonce: nonce.clone(),
            outcome: None,
            primary: call.request.clone(),
            running_peer: None,
            requests: vec![call.request.clone()],
            retry_at: None,
            retry_count: 0,
            row,
            row_version,
            state: CALL_CHART.initial(),
        };
        self.nonces.insert(nonce, key.clone());
        self.requests.insert(call.request.clone(), key.clone());
        self.entries.insert(key.clone(), entry);
        let mut effects = Vec::new();
        if self.store_breaker.try_acquire(context.now, &self.settings) {
            self.send_claim(context, key);
        } else {
            self.apply(context, key, self.refused_claim_event(), None, &mut effects);
        }
        effects
    }

    /// Applies an event to the state chart of a call. `outcome` is stored if the state changes.
    pub(crate) fn apply(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        event: CallEvent,
        outcome: Option<CallOutcome>,
        effects: &mut Vec<RecordEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let step = match CALL_CHART.step(entry.state, event) {
            Err(error) => return context.log_unexpected(key, &error),
            Ok(step) => step,
        };
        if step.state != entry.state && outcome.is_some() {
            entry.outcome = outcome;
        }
        if step.state == CallState::Following && entry.state != CallState::Following {
            entry.following_since = context.now;
        }
        entry.state = step.state;
        for action in &step.actions {
            self.run_action(context, key, *action, effects);
        }
        if step.state == CallState::Closed {
            self.remove(key);
        }
    }

    fn run_action(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        action: CallAction,
        effects: &mut Vec<RecordEffect>,
    ) {
        let refused = CallOutcome::NotRun(self.refusal(RefusalKind::StoreUnavailable));
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match action {
            CallAction::AnswerMismatch => entry.outcome = Some(CallOutcome::KeyMismatch),
            CallAction::AnswerNotRun => {
                let is_refused = matches!(entry.outcome, Some(CallOutcome::NotRun(_)));
                if !is_refused {
                    entry.outcome = Some(refused);
                }
            }
            CallAction::AnswerOutcome | CallAction::AnswerOwner => {}
            CallAction::AnswerRow => entry.outcome = Some(entry.row_outcome()),
            CallAction::AnswerUnknown => entry.outcome = Some(CallOutcome::Unknown),
            CallAction::AskPeers => return self.ask_peers(context, key),
            CallAction::Clean => return self.send_row(context, key, CallEvent::Cleaned),
            CallAction::Clear => {
                entry.retry_at = None;
                let request = entry.primary.clone();
                effects.push(RecordEffect::ClaimConfirmed { request });
                return;
            }
            CallAction::MarkUnknown => return self.send_row(context, key, CallEvent::Marked),
            CallAction::ReadBack => return self.read_back(context, key),
            CallAction::SendClaim => return self.send_claim(context, key),
            CallAction::Settle => {
                entry.ended_at.get_or_insert(context.now);
                return;
            }
            CallAction::Write => {
                entry.ended_at = None;
                return self.outbox.add(context.now, key);
            }
        }
        self.answer(key, effects);
    }

    /// Answers all waiting requests of a call with its outcome.
    fn answer(&mut self, key: &Arc<str>, effects: &mut Vec<RecordEffect>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let outcome = entry.outcome.clone().unwrap_or(CallOutcome::Unknown);
        for request in entry.requests.drain(..) {
            if request != entry.primary {
                self.requests.remove(&request);
            }
            effects.push(RecordEffect::Answer {
                outcome: outcome.clone(),
                request,
            });
        }
    }

    fn send_claim(&mut self, context: &mut Context, key: &Arc<str>) {
        if let Some(entry) = self.entries.get_mut(key) {
            // Only a row that is absent or `not_run` may be claimed.
            let row = entry.row.as_ref();
            let is_free = row.is_some_and(|row| row.state == CallRowState::NotRun);
            entry.claim_version = if is_free { entry.row_version } else { 0 };
        }
        self.send_row(context, key, CallEvent::Confirmed);
    }

    /// Sends the conditional write of a row; `event` is applied when it is committed.
    fn send_row(&mut self, context: &mut Context, key: &Arc<str>, event: CallEvent) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.in_flight {
            return;
        }
        // Claims have passed the breaker already, and a row is only cleaned after a reply. A mark
        // is not caused by either, so it asks the breaker here.
        if event == CallEvent::Marked
            && !self.store_breaker.try_acquire(context.now, &self.settings)
        {
            entry.retry_at = Some(self.store_breaker.retry_at());
            return;
        }
        let row = match event {
            CallEvent::Marked => entry.marked_row(&self.identity),
            CallEvent::Cleaned => entry.own_row(&self.identity, CallRowState::NotRun),
            _ => entry.own_row(&self.identity, CallRowState::Started),
        };
        let version = match event {
            CallEvent::Confirmed => entry.claim_version,
            _ => entry.row_version,
        };
        let index = (event != CallEvent::Marked).then(|| Write {
            key: expiry_key(key, row.expires_ms),
            value: Some("".into()),
        });
        let change = Write {
            key: key.clone(),
            value: Some(row.to_value()),
        };
        let ticket = context.send_store_request(StoreRequest::Transact {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: index.into_iter().chain([change]).collect(),
        });
        entry.in_flight = true;
        let store_call = StoreCall::Change {
            event,
            key: key.clone(),
            nonce: entry.nonce.clone(),
            row,
        };
        self.store_calls.insert(ticket, store_call);
    }

    /// Reads the row: at once the first time, then with exponential backoff.
    fn read_back(&mut self, context: &mut Context, key: &Arc<str>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.in_flight {
            return;
        }
        entry.retry_count += 1;
        if entry.retry_count == 1 && self.store_breaker.try_acquire(context.now, &self.settings) {
            return self.read_row(context, key);
        }
        // A caller waits in every state except `Abandoned`, so only there may the backoff grow
        // long.
        let max_ms = match entry.state {
            CallState::Abandoned => self.settings.retry_max_ms,
            _ => self.settings.retry_min_ms * 4,
        };
        let wait_ms = self.settings.retry_min_ms << entry.retry_count.min(12);
        entry.retry_at = Some(context.now + Duration::from_millis(wait_ms.min(max_ms)));
    }

    pub(crate) fn read_row(&mut self, context: &mut Context, key: &Arc<str>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = true;
        entry.retry_at = None;
        let ticket = context.send_store_request(StoreRequest::Read {
            keys: vec![key.clone()],
        });
        let (key, nonce) = (key.clone(), entry.nonce.clone());
        self.store_calls
            .insert(ticket, StoreCall::Read { key, nonce });
    }
}
