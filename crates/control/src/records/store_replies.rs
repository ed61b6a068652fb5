use super::*;

impl Records {
    /// Processes a reply of the store; none if the ticket does not belong to the record.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> Option<Vec<RecordEffect>> {
        if self
            .sweep
            .store_replied(context, ticket, result, &self.settings)
        {
            return Some(Vec::new());
        }
        let store_call = self.store_calls.remove(&ticket)?;
        self.store_breaker
            .record_result(context.now, result, &self.settings);
        let mut effects = Vec::new();
        match store_call {
            StoreCall::Change {
                event,
                key,
                nonce,
                row,
            } => {
                if self.end_store_call(&key, &nonce) {
                    self.write_replied(context, &key, event, row, result, &mut effects);
                }
            }
            StoreCall::Outcomes(rows) => self.outcomes_replied(context, rows, result, &mut effects),
            StoreCall::Read { key, nonce } => {
                if self.end_store_call(&key, &nonce) {
                    self.read_replied(context, &key, result, &mut effects);
                }
            }
        }
        self.flush(context);
        Some(effects)
    }

    /// Does what is due at this time: expires claims, asks owners, retries reads, writes outcomes
    /// and sweeps expired rows.
    pub fn tick(&mut self, context: &mut Context, members: &Members) -> Vec<RecordEffect> {
        let mut effects = Vec::new();
        // A leaving peer still runs the calls that it has.
        let alive = members
            .peers()
            .filter(|peer| peer.last_heartbeat_at.is_some() && peer.health != TargetHealth::Down);
        self.peers = alive
            .map(|peer| (peer.id.clone(), peer.peer_address))
            .collect();
        let keys: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for key in keys {
            self.tick_entry(context, &key, members, &mut effects);
        }
        self.evict_ended(context.now);
        self.flush(context);
        self.sweep.tick(context, members, &self.settings);
        effects
    }

    /// Notes that the store request of an entry is no longer in flight; false if the entry now
    /// belongs to another claim.
    pub(crate) fn end_store_call(&mut self, key: &Arc<str>, nonce: &Nonce) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return false;
        };
        if *nonce != entry.nonce {
            return false;
        }
        entry.in_flight = false;
        true
    }

    /// Processes the row of a key that was read or returned by a conflict.
    pub(crate) fn row_received(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        rows: &[Row],
        effects: &mut Vec<RecordEffect>,
    ) {
        let found = rows.iter().find(|row| row.key == *key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let row = found.and_then(|row| CallRow::parse(&row.value));
        let is_unreadable = found.is_some() && row.is_none();
        if is_unreadable {
            context.log(
                "record",
                key,
                "cannot parse the row of this call; the call counts as `unknown`",
            );
        }
        let version = found.map_or(0, |row| row.version);
        // The call of a row that cannot be parsed may have run, so its key is never claimed again.
        let event = match is_unreadable {
            false => entry.classify_row(row.as_ref(), version),
            true => CallEvent::RowUnknown,
        };
        entry.row = row;
        entry.row_version = version;
        let event = self.check_window(context.now, key, event);
        let outcome = (event == CallEvent::RowUnknown).then_some(CallOutcome::Unknown);
        self.apply(context, key, event, outcome, effects);
    }

    fn write_replied(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        event: CallEvent,
        row: CallRow,
        result: &Result<StoreReply, StoreFailure>,
        effects: &mut Vec<RecordEffect>,
    ) {
        match result {
            Err(StoreFailure::Ambiguous) => {
                self.apply(context, key, CallEvent::Ambiguous, None, effects);
            }
            Err(StoreFailure::Unavailable) => self.store_refused(context, key, effects),
            Ok(StoreReply::Committed { version }) => {
                if let Some(entry) = self.entries.get_mut(key) {
                    entry.row = Some(row);
                    entry.row_version = *version;
                }
                let event = self.check_window(context.now, key, event);
                self.apply(context, key, event, None, effects);
            }
            Ok(StoreReply::Conflict { rows } | StoreReply::Rows { rows }) => {
                self.row_received(context, key, rows, effects);
            }
        }
    }

    fn read_replied(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        result: &Result<StoreReply, StoreFailure>,
        effects: &mut Vec<RecordEffect>,
    ) {
        match result {
            Ok(StoreReply::Rows { rows }) => self.row_received(context, key, rows, effects),
            _ => self.store_refused(context, key, effects),
        }
    }

    /// Processes the refusal of a request by the store. Claims without a result also ask the peers.
    fn store_refused(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        effects: &mut Vec<RecordEffect>,
    ) {
        let state = self.entries.get(key).map(|entry| entry.state);
        let event = match state {
            Some(CallState::Claiming | CallState::Resolving) => self.refused_claim_event(),
            _ => CallEvent::Unavailable,
        };
        self.apply(context, key, event, None, effects);
    }

    /// Replaces a confirmation that arrives after the dispatch window by `ConfirmedLate`.
    fn check_window(&self, now: Duration, key: &Arc<str>, event: CallEvent) -> CallEvent {
        let is_open = self
            .entries
            .get(key)
            .is_some_and(|entry| self.is_window_open(entry, now));
        match event {
            CallEvent::Confirmed if !is_open => CallEvent::ConfirmedLate,
            _ => event,
        }
    }

    fn tick_entry(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        members: &Members,
        effects: &mut Vec<RecordEffect>,
    ) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let now = context.now;
        let is_expired = match entry.state {
            CallState::Claiming | CallState::Resolving => !self.is_window_open(entry, now),
            CallState::Following | CallState::Marking | CallState::Relaying => {
                now > entry.deadline_at
            }
            _ => false,
        };
        if is_expired {
            return self.apply(context, key, CallEvent::Expired, None, effects);
        }
        match entry.state {
            CallState::Asking if now >= entry.answers_due_at => {
                self.apply(context, key, CallEvent::UnknownToPeers, None, effects);
            }
            CallState::Following => self.ask_owner(context, key, members, effects),
            CallState::Relaying => self.ask_running_peer(context, key, members, effects),
            _ => {
                let is_due = entry.retry_at.is_some_and(|at| now >= at) && !entry.in_flight;
                if is_due && self.store_breaker.try_acquire(now, &self.settings) {
                    self.read_row(context, key);
                }
            }
        }
    }

    /// Asks the owner of a claim when that is due, or reports that the owner is gone: it is this
    /// instance's earlier process, was restarted, is down, or has been silent for
    /// `owner_silence_ms`.
    fn ask_owner(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        members: &Members,
        effects: &mut Vec<RecordEffect>,
    ) {
        let now = context.now;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let silence = Duration::from_millis(self.settings.owner_silence_ms);
        let row = entry.row.as_ref();
        let owner = row.map(|row| (row.owner.clone(), row.incarnation));
        let owner = owner.unwrap_or_default();
        let peer = members.peer(&owner.0);
        let is_gone = match peer {
            _ if owner.0 == self.identity.instance => true,
            None => now.saturating_sub(entry.following_since) > silence,
            Some(peer) => {
                let last_heartbeat_at = peer.last_heartbeat_at.unwrap_or(entry.following_since);
                let is_silent =
                    now.saturating_sub(last_heartbeat_at.max(entry.following_since)) > silence;
                let is_down = peer.health == TargetHealth::Down;
                peer.incarnation > owner.1 || is_down || is_silent
            }
        };
        if is_gone {
            return self.apply(context, key, CallEvent::OwnerGone, None, effects);
        }
        let Some(peer) = peer.filter(|_| now >= entry.next_ask_at) else {
            return;
        };
        entry.next_ask_at = now + Duration::from_millis(self.settings.ask_ms);
        let nonce = row.map(|row| row.nonce.clone()).unwrap_or_default();
        context.push(Command::AskOwner {
            owner: owner.0,
            peer_address: peer.peer_address,
            query: CallQuery::Nonce(nonce),
            request: entry.primary.clone(),
        });
    }
}
