use super::*;

/// Highest version that a snapshot may have; one edit per nanosecond reaches it in a century.
const MAX_VERSION: ConfigVersion = 1 << 62;

/// Range reads of the version series. At most one is in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reader {
    at: Duration,
    /// Reads that failed since the last one that succeeded.
    failure_count: u32,
    /// First version whose change row is still to be read, while `recent` lacks rows that the
    /// table keeps. Edits wait for it, because their operation ids may be in those rows.
    fill_at: Option<ConfigVersion>,
    fetch_at: Duration,
    /// Whether the last read failed.
    pub(crate) has_failed: bool,
    in_flight: bool,
    /// Whether the snapshot was read since the start.
    has_base: bool,
    is_wanted: bool,
    /// Number of the newest read that was sent.
    number: u64,
    sent_at: Duration,
}

impl Reader {
    /// Makes the next reads start where the rows that the table keeps for `version` start.
    pub(crate) fn fill_from(&mut self, version: ConfigVersion, settings: &ConfigSettings) {
        self.fill_at = Some(version.saturating_sub(settings.keep_count) + 1);
    }

    /// Whether the last read failed, or the current one takes long.
    pub(crate) fn is_failing(&self, now: Duration, settings: &ConfigSettings) -> bool {
        let slow = Duration::from_millis(settings.read_slow_ms);
        self.has_failed || (self.in_flight && now.saturating_sub(self.sent_at) > slow)
    }
}

impl Configs {
    /// Reads on the stated period, expires edits, joins, and does the owner's work.
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
        if now >= self.reader.at && !self.reader.in_flight {
            let instances = members.peers().count() as u64 + 1;
            let spread_ms = instances * 1_000 / self.settings.reads_per_s.max(1);
            let period_ms = spread_ms.max(self.settings.read_min_ms);
            self.reader.at = now + Duration::from_millis(period_ms);
            self.read(context);
        }
        self.join(context, members);
        self.snapshot_tick(context, members);
    }

    /// Time by which `tick` is due for the answers and the reads of edits.
    pub(crate) fn wake_at(&self) -> Option<Duration> {
        let answers = self.edits.values().map(|edit| edit.expires_at);
        let is_reading = self.reader.in_flight || self.edits.is_empty();
        let read = (!is_reading).then_some(self.reader.at);
        answers.chain(read).min()
    }

    /// Sends a read now, or after the one in flight.
    pub(crate) fn read_soon(&mut self, context: &mut Context) {
        if self.reader.in_flight {
            self.reader.is_wanted = true;
            return;
        }
        // A store that fails is not asked again by each heartbeat.
        if !self.reader.has_failed {
            self.read(context);
        }
    }

    /// Makes an edit wait for a read that is sent from now on.
    pub(crate) fn read_for(&mut self, context: &mut Context, operation: &OperationId) {
        if let Some(edit) = self.edits.get_mut(operation) {
            edit.read_number = self.reader.number + 1;
        }
        if self.reader.in_flight {
            self.reader.is_wanted = true;
        } else if self.reader.has_failed {
            self.read_again(context, self.reader.failure_count);
        } else {
            self.read(context);
        }
    }

    /// Makes an edit whose last step failed wait for a read after a growing wait, also when reads
    /// succeed: a store may take reads and refuse writes.
    pub(crate) fn read_later(&mut self, context: &Context, operation: &OperationId) {
        let Some(edit) = self.edits.get_mut(operation) else {
            return;
        };
        edit.read_number = self.reader.number + 1;
        edit.retry_count += 1;
        let retry_count = edit.retry_count.max(self.reader.failure_count);
        edit.retry_at = context.now + wait(&self.settings, retry_count);
        self.reader.at = self.reader.at.min(edit.retry_at);
    }

    fn read(&mut self, context: &mut Context) {
        self.reader.in_flight = true;
        self.reader.is_wanted = false;
        self.reader.sent_at = context.now;
        if !self.reader.has_base {
            return self.read_snapshot(context);
        }
        self.reader.number += 1;
        // The head row sorts after all change rows, so one range holds both.
        let ticket = context.store(StoreRequest::Scan {
            from: change_key(self.reader.fill_at.unwrap_or(self.lists.version + 1)),
            limit_count: self.settings.read_max_count,
            to: format!("{HEAD}~").into(),
        });
        let flight = ConfigStoreCall::Range {
            number: self.reader.number,
            sent_at: context.now,
        };
        self.store_calls.insert(ticket, flight);
    }

    fn read_snapshot(&mut self, context: &mut Context) {
        let ticket = context.store(StoreRequest::Read {
            keys: vec![SNAPSHOT.into()],
        });
        self.store_calls
            .insert(ticket, ConfigStoreCall::OperatorLists);
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
        self.reader.has_base = true;
        let row = rows.first();
        match row.map(|row| serde_json::from_str::<OperatorLists>(&row.value)) {
            None => {}
            Some(Err(error)) => context.log("config", SNAPSHOT, error.to_string()),
            Some(Ok(lists)) if lists.version > MAX_VERSION => {
                context.log("config", SNAPSHOT, "the version is beyond any series");
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
            self.edits_read(context, number, Some(EditEvent::Unavailable));
            return;
        };
        self.reader.failure_count = 0;
        let before = (self.lists.version, self.reader.fill_at);
        let head = self.take_rows(context, rows);
        let has_progress = before != (self.lists.version, self.reader.fill_at);
        if self.lists.version > before.0 {
            self.published(context);
        }
        match head {
            Some(head) if head.0 == self.lists.version => {
                self.head = Some(head);
                self.confirmed_at = Some(sent_at);
                self.edits_read(context, number, None);
            }
            // A push overtook this read; a later one confirms.
            Some(head) if head.0 < self.lists.version => self.read_again(context, 0),
            // The limit cut rows off.
            _ if has_progress => self.reader.is_wanted = true,
            // Rows that follow the own version are trimmed; the snapshot has them.
            _ => {
                self.reader.has_base = false;
                self.read_again(context, 0);
            }
        }
        if self.reader.is_wanted && !self.reader.in_flight {
            self.read(context);
        }
    }

    /// Reads again after a wait that doubles with `retry_count`, so that a table that fails or
    /// lost rows is not read in a loop.
    fn read_again(&mut self, context: &Context, retry_count: u32) {
        let retry_at = context.now + wait(&self.settings, retry_count);
        self.reader.at = self.reader.at.min(retry_at);
    }

    /// Applies change rows in order and returns the head, which is absent only when rows were
    /// cut off.
    fn take_rows(
        &mut self,
        context: &mut Context,
        rows: &[Row],
    ) -> Option<(ConfigVersion, RowVersion)> {
        for row in rows {
            if &*row.key == HEAD {
                self.reader.fill_at = None;
                let version = row.value.parse().unwrap_or_else(|_| {
                    context.log("config", HEAD, "the head does not hold a version");
                    0
                });
                return Some((version, row.version));
            }
            match serde_json::from_str::<ChangeRecord>(&row.value) {
                Err(error) => context.log("config", &row.key, error.to_string()),
                Ok(record) if change_key(record.version) != row.key => {
                    context.log("config", &row.key, "the row holds another version");
                }
                Ok(record) if record.version <= self.lists.version => {
                    self.reader.fill_at = Some(record.version + 1);
                    self.recent.insert(record.version, record);
                }
                Ok(record) => {
                    if self.advance(context, &record) && self.reader.fill_at.is_some() {
                        self.reader.fill_at = Some(record.version + 1);
                    }
                }
            }
        }
        // No head row at all: nothing was ever written.
        if !rows.is_empty() || self.lists.version > 0 {
            return None;
        }
        self.reader.fill_at = None;
        Some((0, 0))
    }

    /// Tells edits that waited for this read what it brought.
    fn edits_read(&mut self, context: &mut Context, number: u64, event: Option<EditEvent>) {
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
            let event = event.unwrap_or_else(|| self.judge_edit(&operation, edit));
            self.apply_edit(context, &operation, event);
        }
        // A read that came before the end of an edit's wait does not replace the one after it.
        for edit in self.edits.values() {
            if edit.retry_at > context.now {
                self.reader.at = self.reader.at.min(edit.retry_at);
            }
        }
    }

    /// Becomes ready: with the store's version, or during an outage with the highest version of
    /// more than half of the listed peers.
    fn join(&mut self, context: &mut Context, members: &Members) {
        if self.is_ready {
            return;
        }
        let (mut listed, mut reported) = (0_usize, 0_usize);
        let mut highest = None;
        for peer in members.peers() {
            let is_counted = members.is_listed(&peer.id) && peer.health != TargetHealth::Leaving;
            listed += usize::from(is_counted);
            // A peer that is itself joining has no version to report.
            if !peer.ready || peer.heard_at.is_none() {
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
                if context.now >= self.reader.fetch_at {
                    let retry = Duration::from_millis(self.settings.retry_ms);
                    self.reader.fetch_at = context.now + retry;
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

/// Wait after failed steps.
fn wait(settings: &ConfigSettings, failure_count: u32) -> Duration {
    let wait_ms = settings.retry_ms << failure_count.min(12);
    Duration::from_millis(wait_ms.min(settings.retry_max_ms))
}
