use super::*;

/// Highest version accepted from a snapshot. One edit per nanosecond would take a century to reach
/// it, so a higher one is corrupt.
const MAX_VERSION: ConfigVersion = 1 << 62;

/// State of the reads of the change log. At most one read is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reader {
    next_read_at: Duration,
    /// Number of failed reads since the last successful one.
    failure_count: u32,
    /// First version to read again so that `recent` holds every change row that the store keeps;
    /// `None` when it does. Edits wait for these rows, as their operation ids may be among them.
    backfill_from: Option<ConfigVersion>,
    next_fetch_at: Duration,
    /// Whether the last read failed.
    pub(crate) has_failed: bool,
    in_flight: bool,
    /// Whether the snapshot was read, since the start or since the last gap.
    has_read_snapshot: bool,
    is_read_requested: bool,
    /// Number of the latest range read that was sent.
    last_read_number: u64,
    sent_at: Duration,
}

impl Reader {
    /// Makes the next reads start at the oldest change row that the store keeps at `version`.
    pub(crate) fn start_backfill(&mut self, version: ConfigVersion, settings: &ConfigSettings) {
        self.backfill_from = Some(version.saturating_sub(settings.keep_count) + 1);
    }

    /// Whether the last read failed or the current one is slow.
    pub(crate) fn is_failing(&self, now: Duration, settings: &ConfigSettings) -> bool {
        let slow = Duration::from_millis(settings.read_slow_ms);
        self.has_failed || (self.in_flight && now.saturating_sub(self.sent_at) > slow)
    }
}

impl ConfigReplica {
    /// Expires edits, sends the periodic read, updates the readiness, and renews the snapshot if
    /// this instance owns it.
    pub fn tick(&mut self, context: &mut Context, members: &Members) {
        let present = members.peers().filter(|peer| peer.is_present());
        self.peers = present
            .map(|peer| (peer.id.clone(), peer.peer_address))
            .collect();
        let now = context.now;
        let expired: Vec<OperationId> = self
            .edits
            .iter()
            .filter(|(_, edit)| now >= edit.expires_at)
            .map(|(operation, _)| operation.clone())
            .collect();
        for operation in expired {
            self.apply_edit(context, &operation, EditEvent::Expired);
        }
        if now >= self.reader.next_read_at && !self.reader.in_flight {
            let instances = members.peers().count() as u64 + 1;
            let spread_ms = instances * 1_000 / self.settings.reads_per_s.max(1);
            let period_ms = spread_ms.max(self.settings.read_min_ms);
            self.reader.next_read_at = now + Duration::from_millis(period_ms);
            self.read(context);
        }
        self.update_readiness(context, members);
        self.snapshot_tick(context, members);
    }

    /// Time by which `tick` is due, to expire an edit or to send a read that an edit waits for.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let answers = self.edits.values().map(|edit| edit.expires_at);
        let is_reading = self.reader.in_flight || self.edits.is_empty();
        let read = (!is_reading).then_some(self.reader.next_read_at);
        answers.chain(read).min()
    }

    /// Sends a read now, or as soon as the one in flight has ended.
    pub(crate) fn request_read(&mut self, context: &mut Context) {
        if self.reader.in_flight {
            self.reader.is_read_requested = true;
            return;
        }
        // While the store fails, only the periodic reads are sent: otherwise each heartbeat would
        // cause one.
        if !self.reader.has_failed {
            self.read(context);
        }
    }

    /// Makes an edit wait for the next read that is sent from now on, and requests one.
    pub(crate) fn await_read(&mut self, context: &mut Context, operation: &OperationId) {
        if let Some(edit) = self.edits.get_mut(operation) {
            edit.read_number = self.reader.last_read_number + 1;
        }
        if self.reader.in_flight {
            self.reader.is_read_requested = true;
        } else if self.reader.has_failed {
            self.schedule_read(context, self.reader.failure_count);
        } else {
            self.read(context);
        }
    }

    /// Makes an edit whose last step failed wait for a read after an exponential backoff, even
    /// while reads succeed: a store may serve reads and reject writes.
    pub(crate) fn back_off_edit(&mut self, context: &Context, operation: &OperationId) {
        let Some(edit) = self.edits.get_mut(operation) else {
            return;
        };
        edit.read_number = self.reader.last_read_number + 1;
        edit.retry_count += 1;
        let retry_count = edit.retry_count.max(self.reader.failure_count);
        edit.retry_at = context.now + retry_delay(&self.settings, retry_count);
        self.reader.next_read_at = self.reader.next_read_at.min(edit.retry_at);
    }

    fn read(&mut self, context: &mut Context) {
        self.reader.in_flight = true;
        self.reader.is_read_requested = false;
        self.reader.sent_at = context.now;
        if !self.reader.has_read_snapshot {
            return self.read_snapshot(context);
        }
        self.reader.last_read_number += 1;
        // The key of the head row sorts after those of all change rows, so one range has both.
        let ticket = context.send_store_request(StoreRequest::Scan {
            from: change_key(self.reader.backfill_from.unwrap_or(self.lists.version + 1)),
            limit_count: self.settings.read_max_count,
            to: format!("{HEAD_KEY}~").into(),
        });
        let call = ConfigStoreCall::Range {
            number: self.reader.last_read_number,
            sent_at: context.now,
        };
        self.store_calls.insert(ticket, call);
    }

    fn read_snapshot(&mut self, context: &mut Context) {
        let ticket = context.send_store_request(StoreRequest::Read {
            keys: vec![SNAPSHOT_KEY.into()],
        });
        self.store_calls
            .insert(ticket, ConfigStoreCall::ReadSnapshot);
    }

    pub(crate) fn snapshot_read(
        &mut self,
        context: &mut Context,
        result: &Result<StoreReply, StoreFailure>,
    ) {
        self.reader.in_flight = false;
        let Ok(StoreReply::Rows { rows }) = result else {
            self.reader.has_failed = true;
            self.reader.failure_count += 1;
            return;
        };
        self.reader.has_read_snapshot = true;
        let row = rows.first();
        match row.map(|row| serde_json::from_str::<OperatorLists>(&row.value)) {
            None => {}
            Some(Err(error)) => context.log("config", SNAPSHOT_KEY, error.to_string()),
            Some(Ok(lists)) if lists.version > MAX_VERSION => {
                context.log(
                    "config",
                    SNAPSHOT_KEY,
                    "ignored a snapshot whose version is out of range",
                );
            }
            Some(Ok(lists)) => self.lists_received(context, &Arc::new(lists)),
        }
        self.read(context);
    }

    pub(crate) fn range_read(
        &mut self,
        context: &mut Context,
        number: u64,
        sent_at: Duration,
        result: &Result<StoreReply, StoreFailure>,
    ) {
        self.reader.in_flight = false;
        self.reader.has_failed = result.is_err();
        let Ok(StoreReply::Rows { rows }) = result else {
            self.reader.failure_count += 1;
            self.resume_edits(context, number, Some(EditEvent::Unavailable));
            return;
        };
        self.reader.failure_count = 0;
        let before = (self.lists.version, self.reader.backfill_from);
        let head = self.apply_rows(context, rows);
        let has_progress = before != (self.lists.version, self.reader.backfill_from);
        if self.lists.version > before.0 {
            self.publish(context);
        }
        match head {
            Some(head) if head.0 == self.lists.version => {
                self.head = Some(head);
                self.confirmed_at = Some(sent_at);
                self.resume_edits(context, number, None);
            }
            // A push arrived after this read was sent, so a later read has to confirm the version.
            Some(head) if head.0 < self.lists.version => self.schedule_read(context, 0),
            // The row limit truncated the result: read the rest.
            _ if has_progress => self.reader.is_read_requested = true,
            // The rows after the version in force were deleted, so the snapshot includes them.
            _ => {
                self.reader.has_read_snapshot = false;
                self.schedule_read(context, 0);
            }
        }
        if self.reader.is_read_requested && !self.reader.in_flight {
            self.read(context);
        }
    }

    /// Schedules a read after a delay that doubles with `retry_count`, so that a store that fails
    /// or has lost rows is not read in a tight loop.
    fn schedule_read(&mut self, context: &Context, retry_count: u32) {
        let retry_at = context.now + retry_delay(&self.settings, retry_count);
        self.reader.next_read_at = self.reader.next_read_at.min(retry_at);
    }

    /// Applies change rows in order. Returns the version in the head row and the row version of
    /// that row, or `None` when the head row is missing because the result was truncated.
    fn apply_rows(
        &mut self,
        context: &mut Context,
        rows: &[Row],
    ) -> Option<(ConfigVersion, RowVersion)> {
        for row in rows {
            if &*row.key == HEAD_KEY {
                self.reader.backfill_from = None;
                let version = row.value.parse().unwrap_or_else(|_| {
                    context.log("config", HEAD_KEY, "the head row does not hold a version");
                    0
                });
                return Some((version, row.version));
            }
            match serde_json::from_str::<ChangeRecord>(&row.value) {
                Err(error) => context.log("config", &row.key, error.to_string()),
                Ok(record) if change_key(record.version) != row.key => {
                    context.log(
                        "config",
                        &row.key,
                        "the version in the row differs from that in its key",
                    );
                }
                Ok(record) if record.version <= self.lists.version => {
                    self.reader.backfill_from = Some(record.version + 1);
                    self.recent.insert(record.version, record);
                }
                Ok(record) => {
                    if self.apply_next(context, &record) && self.reader.backfill_from.is_some() {
                        self.reader.backfill_from = Some(record.version + 1);
                    }
                }
            }
        }
        // Without any row nothing was ever written.
        if !rows.is_empty() || self.lists.version > 0 {
            return None;
        }
        self.reader.backfill_from = None;
        Some((0, 0))
    }

    /// Continues the edits that waited for the read with this number: with `event`, or, if `None`,
    /// with what the lists now say about each.
    fn resume_edits(&mut self, context: &mut Context, number: u64, event: Option<EditEvent>) {
        let waiting: Vec<OperationId> = self
            .edits
            .iter()
            .filter(|(_, edit)| matches!(edit.state, EditState::Reading | EditState::Resolving))
            .filter(|(_, edit)| edit.read_number <= number && edit.retry_at <= context.now)
            .map(|(operation, _)| operation.clone())
            .collect();
        for operation in waiting {
            let Some(edit) = self.edits.get(&operation) else {
                continue;
            };
            let event = event.unwrap_or_else(|| self.evaluate_edit(&operation, edit));
            self.apply_edit(context, &operation, event);
        }
        // Edits that are still backing off need another read at the end of their delay: this one
        // came too early for them.
        for edit in self.edits.values() {
            if edit.retry_at > context.now {
                self.reader.next_read_at = self.reader.next_read_at.min(edit.retry_at);
            }
        }
    }

    /// Becomes ready when the lists are recent: the store has confirmed them or, while it cannot be
    /// read, more than half of the listed peers report their versions. If a ready peer reports a
    /// later version, the changes are fetched from it first.
    fn update_readiness(&mut self, context: &mut Context, members: &Members) {
        if self.is_ready {
            return;
        }
        let (mut listed, mut reported) = (0_usize, 0_usize);
        let mut highest = None;
        for peer in members.peers() {
            let is_counted = members.is_listed(&peer.id) && peer.health != TargetHealth::Leaving;
            listed += usize::from(is_counted);
            // A peer that is not ready has no version that can be relied on.
            if !peer.ready || peer.last_heartbeat_at.is_none() {
                continue;
            }
            reported += usize::from(is_counted);
            if highest.is_none_or(|highest: &Peer| highest.config_version < peer.config_version) {
                highest = Some(peer);
            }
        }
        let has_peers = reported * 2 > listed;
        if self.confirmed_at.is_none() && !(has_peers && self.reader.has_failed) {
            return;
        }
        match highest {
            Some(peer) if peer.config_version > self.lists.version => {
                if context.now >= self.reader.next_fetch_at {
                    let retry = Duration::from_millis(self.settings.retry_ms);
                    self.reader.next_fetch_at = context.now + retry;
                    context.push(Command::FetchChanges {
                        after: self.lists.version,
                        peer: peer.id.clone(),
                        peer_address: peer.peer_address,
                    });
                }
            }
            _ => {
                self.is_ready = true;
                context.push(Command::PublishLists(self.lists.clone()));
            }
        }
    }
}

/// Exponential backoff after `failure_count` failures, up to the limit in the settings.
fn retry_delay(settings: &ConfigSettings, failure_count: u32) -> Duration {
    let wait_ms = settings.retry_ms << failure_count.min(12);
    Duration::from_millis(wait_ms.min(settings.retry_max_ms))
}
