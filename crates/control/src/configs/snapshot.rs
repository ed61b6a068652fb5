use super::*;

/// State of the owner's work on the change log: writing the snapshot and deleting old change rows.
/// Each write is conditional on the snapshot row, so two concurrent owners do no harm.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshots {
    next_attempt_at: Duration,
    is_running: bool,
    /// Version of the latest snapshot that this instance has read or written.
    version: ConfigVersion,
}

#[derive(Clone, Debug)]
pub(crate) enum SnapshotStep {
    /// Reads the snapshot row, for its row version.
    Read,
    /// Reads the change rows that the snapshot makes obsolete. `fence` is the row version of the
    /// snapshot row.
    Scan { fence: RowVersion },
    /// Deletes change rows.
    Trim,
    /// Writes the snapshot of the lists at `version`.
    Write { version: ConfigVersion },
}

impl ConfigReplica {
    pub(crate) fn snapshot_tick(&mut self, context: &mut Context, members: &Members) {
        let due_version = self.snapshots.version + self.settings.snapshot_count;
        let is_waiting = self.snapshots.is_running || context.now < self.snapshots.next_attempt_at;
        if self.lists.version < due_version || is_waiting || !members.is_owner(SNAPSHOT_KEY) {
            return;
        }
        self.snapshots.next_attempt_at =
            context.now + Duration::from_millis(self.settings.read_min_ms);
        let read = StoreRequest::Read {
            keys: vec![SNAPSHOT_KEY.into()],
        };
        self.send_step(context, read, SnapshotStep::Read);
    }

    pub(crate) fn snapshot_replied(
        &mut self,
        context: &mut Context,
        step: &SnapshotStep,
        result: &Result<StoreReply, StoreFailure>,
    ) {
        self.snapshots.is_running = false;
        // Any failure ends this attempt; the next one starts with a read of the snapshot row.
        match (step, result) {
            (SnapshotStep::Read, Ok(StoreReply::Rows { rows })) => self.write(context, rows),
            (SnapshotStep::Scan { fence }, Ok(StoreReply::Rows { rows })) if !rows.is_empty() => {
                self.delete_changes(context, *fence, rows);
            }
            (SnapshotStep::Write { version: lists }, Ok(StoreReply::Committed { version })) => {
                self.snapshots.version = *lists;
                self.scan_old_changes(context, *version);
            }
            _ => {}
        }
    }

    fn write(&mut self, context: &mut Context, rows: &[Row]) {
        let row = rows.first();
        let stored = row.and_then(|row| serde_json::from_str::<OperatorLists>(&row.value).ok());
        let stored_version = stored.map_or(0, |lists| lists.version);
        if self.lists.version < stored_version + self.settings.snapshot_count {
            self.snapshots.version = stored_version;
            return;
        }
        let write = StoreRequest::Transact {
            conditions: vec![Condition {
                key: SNAPSHOT_KEY.into(),
                version: row.map_or(0, |row| row.version),
            }],
            writes: vec![Write {
                key: SNAPSHOT_KEY.into(),
                value: Some(to_json(&self.lists)),
            }],
        };
        let version = self.lists.version;
        self.send_step(context, write, SnapshotStep::Write { version });
    }

    fn scan_old_changes(&mut self, context: &mut Context, fence: RowVersion) {
        let oldest = self
            .snapshots
            .version
            .saturating_sub(self.settings.keep_count);
        let scan = StoreRequest::Scan {
            from: CHANGE_PREFIX.into(),
            limit_count: self.settings.read_max_count * 2,
            to: change_key(oldest),
        };
        self.send_step(context, scan, SnapshotStep::Scan { fence });
    }

    fn delete_changes(&mut self, context: &mut Context, fence: RowVersion, rows: &[Row]) {
        let deleted = rows.iter().map(|row| Write {
            key: row.key.clone(),
            value: None,
        });
        let trim = StoreRequest::Transact {
            conditions: vec![Condition {
                key: SNAPSHOT_KEY.into(),
                version: fence,
            }],
            writes: deleted.collect(),
        };
        self.send_step(context, trim, SnapshotStep::Trim);
    }

    fn send_step(&mut self, context: &mut Context, request: StoreRequest, step: SnapshotStep) {
        self.snapshots.is_running = true;
        let ticket = context.send_store_request(request);
        self.store_calls
            .insert(ticket, ConfigStoreCall::Snapshot(step));
    }
}
