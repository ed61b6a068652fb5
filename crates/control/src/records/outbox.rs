use super::*;

/// Keys of ended calls whose outcome is not yet written to the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    /// Keys whose last transaction had a conflict. Each is written in a transaction of its own, so
    /// that it does not fail the others again.
    unbatched: BTreeSet<Arc<str>>,
    failure_count: u32,
    /// Time before which nothing is sent, because the store failed.
    not_before: Duration,
    pending: BTreeSet<Arc<str>>,
    /// Time at which a key was added to the empty `pending`.
    pending_since: Duration,
}

impl Outbox {
    pub(crate) fn add(&mut self, now: Duration, key: &Arc<str>) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.insert(key.clone());
    }

    pub(crate) fn due_at(&self, settings: &RecordSettings) -> Option<Duration> {
        if self.pending.is_empty() {
            return None;
        }
        let batch = Duration::from_millis(settings.batch_ms);
        Some((self.pending_since + batch).max(self.not_before))
    }

    fn record_failure(&mut self, now: Duration, settings: &RecordSettings) {
        self.failure_count += 1;
        let wait_ms = settings.retry_min_ms << self.failure_count.min(12);
        self.not_before = now + Duration::from_millis(wait_ms.min(settings.retry_max_ms));
    }
}

impl Records {
    /// Writes the pending outcomes if their batch is full or due and the store may be called.
    pub(crate) fn flush(&mut self, context: &mut Context) {
        let is_full = self.outbox.pending.len() >= self.settings.batch_max_count;
        let due_at = self.outbox.due_at(&self.settings);
        let is_due = due_at.is_some_and(|at| context.now >= at);
        let may_send = context.now >= self.outbox.not_before;
        let is_early = !is_due && !is_full;
        if is_early || !may_send || !self.store_breaker.try_acquire(context.now, &self.settings) {
            return;
        }
        let mut batch = Vec::new();
        let mut pending = std::mem::take(&mut self.outbox.pending);
        if self.store_breaker.is_failing() {
            // One row probes the store; the others wait for its reply.
            let probe = pending.pop_first();
            self.outbox.pending = std::mem::replace(&mut pending, probe.into_iter().collect());
        }
        for key in pending {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            // A write in flight is compared with the final state when its reply arrives.
            let Some(state) = entry.final_row_state().filter(|_| !entry.in_flight) else {
                continue;
            };
            entry.in_flight = true;
            let row = entry.own_row(&self.identity, state);
            if self.outbox.unbatched.remove(&key) {
                self.send_outcomes(context, vec![(key, row)]);
                continue;
            }
            batch.push((key, row));
            if batch.len() >= self.settings.batch_max_count {
                let full = std::mem::take(&mut batch);
                self.send_outcomes(context, full);
            }
        }
        if !batch.is_empty() {
            self.send_outcomes(context, batch);
        }
    }

    pub(crate) fn outcomes_replied(
        &mut self,
        context: &mut Context,
        rows: Vec<(Arc<str>, CallRow)>,
        result: &Result<StoreReply, StoreFailure>,
        effects: &mut Vec<RecordEffect>,
    ) {
        match result {
            Err(_) => self.outbox.record_failure(context.now, &self.settings),
            Ok(_) => self.outbox.failure_count = 0,
        }
        for (key, row) in rows {
            if !self.end_store_call(&key, &row.nonce) {
                continue;
            }
            match result {
                Err(_) => self.outbox.add(context.now, &key),
                Ok(StoreReply::Committed { version }) => {
                    self.outcome_written(context, &key, row, *version, effects);
                }
                Ok(StoreReply::Conflict { rows } | StoreReply::Rows { rows }) => {
                    self.outbox.unbatched.insert(key.clone());
                    self.row_received(context, &key, rows, effects);
                }
            }
        }
    }

    /// Ensures that one more call fits into memory by evicting the call that ended first; false if
    /// every call is still needed.
    pub(crate) fn ensure_capacity(&mut self) -> bool {
        if self.entries.len() < self.settings.max_count {
            return true;
        }
        let durable = self.entries.iter().filter(|(_, entry)| entry.is_durable());
        let oldest = durable.min_by_key(|(_, entry)| entry.ended_at);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.remove(&key);
        true
    }

    /// Evicts ended calls that are too old, then the oldest ones until their results fit into
    /// `ended_max_bytes`.
    pub(crate) fn evict_ended(&mut self, now: Duration) {
        let memory = Duration::from_millis(self.settings.ended_memory_ms);
        let mut ended: Vec<(Duration, Arc<str>, usize)> = Vec::new();
        for (key, entry) in &self.entries {
            if let Some(ended_at) = entry.ended_at.filter(|_| entry.is_durable()) {
                ended.push((ended_at, key.clone(), entry.result_bytes()));
            }
        }
        ended.sort_unstable();
        let mut bytes: usize = ended.iter().map(|(_, _, bytes)| bytes).sum();
        for (ended_at, key, size) in ended {
            let is_old = now.saturating_sub(ended_at) > memory;
            if !is_old && bytes <= self.settings.ended_max_bytes {
                break;
            }
            bytes -= size;
            self.remove(&key);
        }
        self.outbox
            .unbatched
            .retain(|key| self.entries.contains_key(key));
    }

    fn outcome_written(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        row: CallRow,
        version: RowVersion,
        effects: &mut Vec<RecordEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let event = match entry.final_row_state() {
            Some(state) if state == row.state => CallEvent::RowSettled,
            _ => CallEvent::RowBehind,
        };
        entry.row = Some(row);
        entry.row_version = version;
        self.apply(context, key, event, None, effects);
    }

    fn send_outcomes(&mut self, context: &mut Context, rows: Vec<(Arc<str>, CallRow)>) {
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for (key, row) in &rows {
            let version = self.entries.get(key).map_or(0, |entry| entry.row_version);
            conditions.push(Condition {
                key: key.clone(),
                version,
            });
            writes.push(Write {
                key: key.clone(),
                value: Some(row.to_value()),
            });
        }
        let ticket = context.send_store_request(StoreRequest::Transact { conditions, writes });
        self.store_calls.insert(ticket, StoreCall::Outcomes(rows));
    }
}
