use super::*;

/// This instance's replica of the operator lists, which it keeps up to date from the store and from
/// peers. Used only by the control thread.
///
/// Invariant: `lists` holds only changes that are committed in the store, and its version never
/// decreases.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    /// Send time of the latest range read that found `lists` up to date; `None` before the first.
    pub(crate) confirmed_at: Option<Duration>,
    pub(crate) edits: BTreeMap<OperationId, Edit>,
    pub(crate) store_calls: BTreeMap<StoreTicket, ConfigStoreCall>,
    /// Whether this instance hears from a majority, as last passed to `set_majority`.
    pub(crate) has_majority: bool,
    /// Version of the lists that the head row holds, and the row version of the head row; `None`
    /// until a read or write has shown both.
    pub(crate) head: Option<(ConfigVersion, RowVersion)>,
    pub(crate) is_ready: bool,
    pub(crate) lists: Arc<OperatorLists>,
    /// Peers that get a push of each edit accepted here, as of the last tick.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) reader: Reader,
    /// Latest changes by version: sent to peers that are behind, and searched for operation ids
    /// that are submitted again.
    pub(crate) recent: BTreeMap<ConfigVersion, ChangeRecord>,
    pub(crate) settings: ConfigSettings,
    pub(crate) snapshots: Snapshots,
}

/// Request to the store that has no reply yet.
#[derive(Clone, Debug)]
pub(crate) enum ConfigStoreCall {
    /// Write of an edit.
    Edit(ChangeRecord),
    /// Read of the snapshot row, at the start or when change rows that this instance lacks were
    /// deleted.
    ReadSnapshot,
    /// Read of the changes after the version in force.
    Range { number: u64, sent_at: Duration },
    /// Step of the owner that renews the snapshot and deletes old change rows.
    Snapshot(SnapshotStep),
}

impl ConfigReplica {
    /// Creates a replica with empty lists, which is not ready.
    #[must_use]
    pub fn new(settings: ConfigSettings) -> Self {
        Self {
            confirmed_at: None,
            edits: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            has_majority: false,
            head: None,
            is_ready: false,
            lists: Arc::default(),
            peers: Vec::new(),
            reader: Reader::default(),
            recent: BTreeMap::new(),
            settings,
            snapshots: Snapshots::default(),
        }
    }

    /// Sets whether this instance hears from a majority. Must be called before each event that can
    /// lead to the write of an edit.
    pub fn set_majority(&mut self, has_majority: bool) {
        self.has_majority = has_majority;
    }

    /// Whether this instance hears from a majority, without which it sends no write of an edit.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.has_majority
    }

    /// Accounts and plans in force.
    #[must_use]
    pub fn lists(&self) -> &Arc<OperatorLists> {
        &self.lists
    }

    /// Whether the lists are recent enough to serve requests with them. Stays true once set.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Time since the store confirmed the version in force; time since the start if it never has.
    #[must_use]
    pub fn confirmed_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Changes after `version` in order, or `None` when some of them are no longer in memory, so
    /// that the lists must be sent as a whole.
    #[must_use]
    pub fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        let records: Vec<ChangeRecord> = self
            .recent
            .range(version.saturating_add(1)..)
            .map(|(_, record)| record.clone())
            .collect();
        let missing = self.lists.version.saturating_sub(version);
        (records.len() as u64 == missing).then_some(records)
    }

    /// Applies changes that a peer sent. Versions already in force are ignored; if versions are
    /// missing in between, the store is read.
    pub fn changes_received(&mut self, context: &mut Context, records: &[ChangeRecord]) {
        let before = self.lists.version;
        let mut has_gap = false;
        for record in records {
            has_gap |= record.version > self.lists.version + 1;
            self.apply_next(context, record);
        }
        if self.lists.version > before {
            self.publish(context);
        }
        if has_gap {
            self.request_read(context);
        }
    }

    /// Replaces the lists with those that a peer or the snapshot holds, if these are newer.
    pub fn lists_received(&mut self, context: &mut Context, lists: &Arc<OperatorLists>) {
        if lists.version <= self.lists.version {
            return;
        }
        self.lists = lists.clone();
        self.recent.clear();
        self.head = None;
        self.reader.start_backfill(lists.version, &self.settings);
        // A sent edit may be among the skipped changes, so its result is unknown.
        let edits = self
            .edits
            .iter()
            .filter(|(_, edit)| edit.sent_head.is_some());
        let sent: Vec<OperationId> = edits.map(|(operation, _)| operation.clone()).collect();
        for operation in sent {
            self.apply_edit(context, &operation, EditEvent::Expired);
        }
        self.publish(context);
    }

    /// Handles the version in a peer's heartbeat. When the peer is ahead, reads the store, and also
    /// fetches the changes from the peer if the last read failed.
    pub fn peer_version_received(
        &mut self,
        context: &mut Context,
        peer: &InstanceId,
        peer_address: SocketAddr,
        version: ConfigVersion,
    ) {
        if version <= self.lists.version {
            return;
        }
        if self.reader.is_failing(context.now, &self.settings) {
            context.push(Command::FetchChanges {
                after: self.lists.version,
                peer: peer.clone(),
                peer_address,
            });
        }
        self.request_read(context);
    }

    /// Handles a reply of the store. Returns false if the ticket belongs to another part of the
    /// node.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let Some(call) = self.store_calls.remove(&ticket) else {
            return false;
        };
        match call {
            ConfigStoreCall::Edit(record) => self.edit_replied(context, &record, result),
            ConfigStoreCall::ReadSnapshot => self.snapshot_read(context, result),
            ConfigStoreCall::Range { number, sent_at } => {
                self.range_read(context, number, sent_at, result);
            }
            ConfigStoreCall::Snapshot(step) => self.snapshot_replied(context, &step, result),
        }
        true
    }

    /// Version that an operation created, if it is among the changes still in memory.
    pub(crate) fn version_of(&self, operation: &OperationId) -> Option<ConfigVersion> {
        let mut records = self.recent.values().rev();
        let found = records.find(|record| record.operation == *operation);
        found.map(|record| record.version)
    }

    /// Applies an edit that this instance committed and pushes it to all peers.
    pub(crate) fn apply_own_edit(&mut self, context: &mut Context, record: &ChangeRecord) {
        if !self.apply_next(context, record) {
            return;
        }
        self.publish(context);
        for (peer, peer_address) in &self.peers {
            context.push(Command::PushChanges {
                peer: peer.clone(),
                peer_address: *peer_address,
                records: vec![record.clone()],
            });
        }
    }

    /// Applies a change if it is the next version; returns whether it was.
    pub(crate) fn apply_next(&mut self, context: &mut Context, record: &ChangeRecord) -> bool {
        if record.version != self.lists.version + 1 {
            return false;
        }
        let lists = Arc::make_mut(&mut self.lists);
        if let Err(error) = lists.apply(&record.change) {
            // The writer validated the change against the same lists, so all instances skip the
            // same changes.
            context.log(
                "config",
                &record.operation,
                format!("skipped an invalid change: {error}"),
            );
            lists.version = record.version;
        }
        self.recent.insert(record.version, record.clone());
        while self.recent.len() as u64 > self.settings.keep_count {
            self.recent.pop_first();
        }
        true
    }

    /// Publishes the lists and answers the edits that they include.
    pub(crate) fn publish(&mut self, context: &mut Context) {
        context.push(Command::PublishLists(self.lists.clone()));
        let edits: Vec<OperationId> = self.edits.keys().cloned().collect();
        for operation in edits {
            if self.version_of(&operation).is_some() {
                self.apply_edit(context, &operation, EditEvent::Found);
            }
        }
    }
}

/// Key of the row that holds the change to `version`. Padded, so that keys sort by version.
pub(crate) fn change_key(version: ConfigVersion) -> Arc<str> {
    format!("{CHANGE_PREFIX}{version:020}").into()
}

/// JSON text of the value of a row.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("row values serialize, as their maps have string keys")
        .into()
}

pub(crate) const CHANGE_PREFIX: &str = "config/change/";
pub(crate) const HEAD_KEY: &str = "config/head";
pub(crate) const SNAPSHOT_KEY: &str = "config/snapshot";
