use super::*;

/// Operator lists at this instance. Belongs to the control thread.
///
/// Invariant: `lists` holds only changes that are committed in the table, and its version never
/// falls.
#[derive(Clone, Debug)]
pub struct Configs {
    /// When the read was sent that last showed no later version; none before the first.
    pub(crate) confirmed_at: Option<Duration>,
    pub(crate) edits: BTreeMap<OperationId, Edit>,
    pub(crate) store_calls: BTreeMap<StoreTicket, ConfigStoreCall>,
    /// Whether more than half of the view was heard at the current event.
    pub(crate) has_majority: bool,
    /// Version that the head row names, and the version of that row.
    pub(crate) head: Option<(ConfigVersion, RowVersion)>,
    pub(crate) is_ready: bool,
    pub(crate) lists: Arc<OperatorLists>,
    /// Peers to push to, from the last tick.
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    pub(crate) reader: Reader,
    /// Newest changes by version, for peers and for operation ids that come again.
    pub(crate) recent: BTreeMap<ConfigVersion, ChangeRecord>,
    pub(crate) settings: ConfigSettings,
    pub(crate) snapshots: Snapshots,
}

/// Request to the store that waits for its reply.
#[derive(Clone, Debug)]
pub(crate) enum ConfigStoreCall {
    /// Writes an edit.
    Edit(ChangeRecord),
    /// Reads the snapshot, to join or to close a gap.
    OperatorLists,
    /// Reads what follows the own version.
    Range { number: u64, sent_at: Duration },
    /// Writes or trims by the owner.
    Snapshot(SnapshotStep),
}

impl Configs {
    /// Creates the empty configuration, which is not ready.
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

    /// Takes in whether this instance hears from a majority now; to be called before each event
    /// that can lead to the write of an edit.
    pub fn note_majority(&mut self, has_majority: bool) {
        self.has_majority = has_majority;
    }

    /// Whether this instance may send the write of an edit.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.has_majority
    }

    /// Both lists in force.
    #[must_use]
    pub fn lists(&self) -> &Arc<OperatorLists> {
        &self.lists
    }

    /// Whether this instance has a version that it may serve from.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Time since the store confirmed the version in force; the time since start before the first.
    #[must_use]
    pub fn confirmed_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at.unwrap_or_default())
    }

    /// Changes after `version` in order; none when some of them are no longer in memory, and the
    /// lists are to be sent as a whole.
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

    /// Takes changes from a peer. Lower versions are ignored; a gap is closed from the store.
    pub fn changes_received(&mut self, context: &mut Context, records: &[ChangeRecord]) {
        let before = self.lists.version;
        let mut has_gap = false;
        for record in records {
            has_gap |= record.version > self.lists.version + 1;
            self.advance(context, record);
        }
        if self.lists.version > before {
            self.published(context);
        }
        if has_gap {
            self.read_soon(context);
        }
    }

    /// Takes whole lists from a peer, if they are newer.
    pub fn lists_received(&mut self, context: &mut Context, lists: &Arc<OperatorLists>) {
        if lists.version <= self.lists.version {
            return;
        }
        self.lists = lists.clone();
        self.recent.clear();
        self.head = None;
        self.reader.fill_from(lists.version, &self.settings);
        // An edit that was sent may be in the part of the series that was skipped.
        let edits = self
            .edits
            .iter()
            .filter(|(_, edit)| edit.sent_head.is_some());
        let sent: Vec<OperationId> = edits.map(|(operation, _)| operation.clone()).collect();
        for operation in sent {
            self.apply_edit(context, &operation, EditEvent::Expired);
        }
        self.published(context);
    }

    /// Takes a peer's version from its heartbeat. A peer that is ahead makes this instance read
    /// the store, or ask the peer when the last read failed.
    pub fn peer_version(
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
        self.read_soon(context);
    }

    /// Takes a reply of the store; false if the ticket is not of the configuration.
    pub fn store_replied(
        &mut self,
        context: &mut Context,
        ticket: StoreTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> bool {
        let Some(flight) = self.store_calls.remove(&ticket) else {
            return false;
        };
        match flight {
            ConfigStoreCall::Edit(record) => self.edit_replied(context, &record, result),
            ConfigStoreCall::OperatorLists => self.snapshot_read(context, result),
            ConfigStoreCall::Range { number, sent_at } => {
                self.range_read(context, number, sent_at, result);
            }
            ConfigStoreCall::Snapshot(step) => self.snapshot_replied(context, &step, result),
        }
        true
    }

    /// Version at which an operation is in the series, as far as memory reaches.
    pub(crate) fn version_of(&self, operation: &OperationId) -> Option<ConfigVersion> {
        let mut records = self.recent.values().rev();
        let found = records.find(|record| record.operation == *operation);
        found.map(|record| record.version)
    }

    /// Puts an own edit in force and pushes it to all peers.
    pub(crate) fn accepted(&mut self, context: &mut Context, record: &ChangeRecord) {
        if !self.advance(context, record) {
            return;
        }
        self.published(context);
        for (peer, peer_address) in &self.peers {
            context.push(Command::PushChanges {
                peer: peer.clone(),
                peer_address: *peer_address,
                records: vec![record.clone()],
            });
        }
    }

    /// Applies the change that follows the own version; false for any other.
    pub(crate) fn advance(&mut self, context: &mut Context, record: &ChangeRecord) -> bool {
        if record.version != self.lists.version + 1 {
            return false;
        }
        let lists = Arc::make_mut(&mut self.lists);
        if let Err(error) = lists.apply(&record.change) {
            // The writer checked the change against the same lists, so every instance skips it.
            context.log("config", &record.operation, format!("skipped: {error}"));
            lists.version = record.version;
        }
        self.recent.insert(record.version, record.clone());
        while self.recent.len() as u64 > self.settings.keep_count {
            self.recent.pop_first();
        }
        true
    }

    /// Publishes the lists and answers edits that are in them.
    pub(crate) fn published(&mut self, context: &mut Context) {
        context.push(Command::PublishLists(self.lists.clone()));
        let edits: Vec<OperationId> = self.edits.keys().cloned().collect();
        for operation in edits {
            if self.version_of(&operation).is_some() {
                self.apply_edit(context, &operation, EditEvent::Found);
            }
        }
    }
}

/// Key of the row of one change.
pub(crate) fn change_key(version: ConfigVersion) -> Arc<str> {
    format!("{CHANGE_PREFIX}{version:020}").into()
}

/// JSON text of a row.
pub(crate) fn to_value<T: Serialize>(value: &T) -> Arc<str> {
    serde_json::to_string(value)
        .expect("rows have no map with keys other than text")
        .into()
}

pub(crate) const CHANGE_PREFIX: &str = "config/change/";
pub(crate) const HEAD: &str = "config/head";
pub(crate) const SNAPSHOT: &str = "config/snapshot";
