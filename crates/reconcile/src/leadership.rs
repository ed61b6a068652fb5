use super::*;

/// Largest overestimate of a row's age: the holder dates the row by an answer of the store that
/// took up to 200 ms, and the write took equally long.
const MAX_AGE_ERROR: Duration = Duration::from_millis(500);

/// Number of low bits of a fencing token that count within one era of the store. Together with the eras it stays
/// below 2^53, so that it is exact in JSON for any reader.
const ERA_SHIFT: u32 = 32;

/// Timing of the leader election.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeadershipSettings {
    /// Time without a change of the leader's row after which another instance may take over.
    pub lease: Duration,
    /// Base time by which this instance delays taking a free leadership, so that others can take it
    /// first. The actual delay lies between one and two times this value, depending on the instance
    /// id.
    pub takeover_delay: Duration,
    /// Time after the last confirmed renewal for which the leader sends orders. It must be shorter
    /// than `lease` so that the leader stops before another one starts.
    pub term: Duration,
}

impl Default for LeadershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_000),
            takeover_delay: Duration::ZERO,
            term: Duration::from_millis(2_500),
        }
    }
}

/// Row in the store that records the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderRow {
    /// Fencing token that grows with each change of the leader; engines refuse orders with a lower
    /// one.
    pub fence: u64,
    /// Start id of the leading instance; empty if the leadership was released.
    pub holder: Arc<str>,
    /// Last era of the store in which the leader found its configuration, or a newer one, in the store.
    pub settled_era: u64,
    /// Tree that determines which instances query which; none if it is not known.
    pub tree: Option<RelayTree>,
}

impl LeaderRow {
    /// Row that records that no instance leads.
    #[must_use]
    pub fn released(fence: u64) -> Self {
        Self {
            fence,
            holder: Arc::from(""),
            settled_era: 0,
            tree: None,
        }
    }
}

/// Next action on the leader's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Leave the row unchanged.
    Wait,
    /// Write the row, provided that its version is still the expected one.
    Write {
        /// Version that the row must have; 0 if it must not exist.
        expected_version: u64,
        /// Fencing token of the new row.
        fence: u64,
    },
}

/// Decides which instance leads, by a lease: the leader renews its row in the store at regular
/// intervals.
///
/// Ages are measured on this instance's own clock from the moment at which it first saw a version
/// of the row, so clocks need not be synchronized. The age that the store reported at that moment
/// is added, less its possible error.
#[derive(Clone, Debug)]
pub struct Leadership {
    /// Number of times that the store was restored from an older copy, as last read.
    era: u64,
    instance: Arc<str>,
    /// Whether the last known tree names this instance as a stand-in for the leader.
    is_stand_in: bool,
    /// Fencing token of this instance's own term and the time at which the write that started or
    /// renewed the term was sent; none if it does not lead.
    own_term: Option<(u64, Duration)>,
    /// Address at which this instance receives queries.
    relay_address: SocketAddr,
    /// Last known row and its version; none if there is no row.
    row: Option<(LeaderRow, u64)>,
    /// Time from which the age of the row's version counts; none before the first read.
    version_seen_at: Option<Duration>,
    settings: LeadershipSettings,
}

impl Leadership {
    /// Creates the state of an instance that does not lead. `instance` is its start id: the
    /// instance id, a dot, and a suffix that differs between starts.
    #[must_use]
    pub fn new(
        instance: Arc<str>,
        relay_address: SocketAddr,
        settings: LeadershipSettings,
    ) -> Self {
        Self {
            era: 0,
            instance,
            is_stand_in: false,
            own_term: None,
            relay_address,
            row: None,
            version_seen_at: None,
            settings,
        }
    }

    /// Start id of this instance.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Records how often the store was restored from an older copy, as read together with the row.
    pub fn record_era(&mut self, era: u64) {
        if era != self.era {
            tracing::info!(
                instance = &*self.instance,
                era,
                before = self.era,
                "leader table is of another era of the store"
            );
        }
        self.era = era;
    }

    /// Fencing token that is higher than all before. The row of a restored store may be older than tokens that
    /// were used, so the first token of an era exceeds all earlier eras. Within the era it follows the
    /// version of the row, which grows with each write, even one by a leader of an earlier era.
    fn next_fence(&self, last: u64, version: u64) -> u64 {
        let first = self.era << ERA_SHIFT;
        if last < first {
            return first + version + 1;
        }
        last + 1
    }

    /// Records the row and its version as read from the store. `age` is the time since the row was
    /// written, by the clock of the store.
    pub fn observe(&mut self, now: Duration, row: Option<(LeaderRow, u64)>, age: Duration) {
        let version = |row: &Option<(LeaderRow, u64)>| row.as_ref().map(|(_, version)| *version);
        if self.version_seen_at.is_none() || version(&row) != version(&self.row) {
            let age = age.saturating_sub(MAX_AGE_ERROR);
            self.version_seen_at = Some(now.saturating_sub(age));
        }
        let is_other = row
            .as_ref()
            .is_none_or(|(row, _)| row.holder != self.instance);
        if is_other && self.own_term.take().is_some() {
            tracing::info!(
                instance = &*self.instance,
                "leadership lost to another instance"
            );
        }
        let tree = row.as_ref().and_then(|(row, _)| row.tree.as_ref());
        if let Some(tree) = tree {
            self.is_stand_in = tree.role_of(self.relay_address) == TreeRole::StandIn;
        }
        self.row = row;
    }

    /// Action to take now.
    #[must_use]
    pub fn step(&self, now: Duration) -> LeaseStep {
        let Some(version_seen_at) = self.version_seen_at else {
            return LeaseStep::Wait;
        };
        let waited = now.saturating_sub(version_seen_at);
        let Some((row, version)) = &self.row else {
            if waited < self.takeover_delay() {
                return LeaseStep::Wait;
            }
            return LeaseStep::Write {
                expected_version: 0,
                fence: self.next_fence(0, 0),
            };
        };
        if row.holder == self.instance {
            // If the answer to a renewal was lost, this instance has ended its term, so it starts a
            // new one.
            let fence = match self.own_term {
                Some(_) => row.fence,
                None => self.next_fence(row.fence, *version),
            };
            return LeaseStep::Write {
                expected_version: *version,
                fence,
            };
        }
        let takeover_delay = if self.is_stand_in {
            Duration::ZERO
        } else {
            self.takeover_delay()
        };
        let free_after = match () {
            () if self.is_held_by_previous_process(row) => Duration::ZERO,
            () if row.holder.is_empty() => takeover_delay,
            () => self.settings.lease + takeover_delay,
        };
        if waited < free_after {
            return LeaseStep::Wait;
        }
        LeaseStep::Write {
            expected_version: *version,
            fence: self.next_fence(row.fence, *version),
        }
    }

    /// Time by which this instance delays taking a free leadership, derived from the hash of its
    /// id.
    #[must_use]
    pub fn takeover_delay(&self) -> Duration {
        let mut hasher = DefaultHasher::new();
        self.instance.hash(&mut hasher);
        let share = (hasher.finish() % 1_000) as f64 / 1_000.0;
        self.settings.takeover_delay.mul_f64(1.0 + share)
    }

    /// Whether a previous process of this instance held the leadership. The platform starts a
    /// process again only after the previous one has ended. The address distinguishes it from
    /// another machine with the same name.
    fn is_held_by_previous_process(&self, row: &LeaderRow) -> bool {
        let id = |start: &str| start.rsplit_once('.').map(|(id, _)| id.to_owned());
        let is_same = id(&row.holder).is_some_and(|holder| Some(holder) == id(&self.instance));
        let leader = row.tree.as_ref().map(|tree| tree.leader);
        is_same && leader == Some(self.relay_address)
    }

    /// Records that a write sent at `sent_at` was accepted with this version.
    pub fn record_write(&mut self, sent_at: Duration, row: LeaderRow, version: u64) {
        if self.own_term.is_none_or(|(fence, _)| fence != row.fence) {
            tracing::info!(
                instance = &*self.instance,
                fence = row.fence,
                "leadership acquired"
            );
        }
        self.own_term = Some((row.fence, sent_at));
        self.row = Some((row, version));
        self.version_seen_at = Some(sent_at);
    }

    /// Ends the own term, if there is one. Returns the row to write and its expected version.
    pub fn release(&mut self) -> Option<(LeaderRow, u64)> {
        let (fence, _) = self.own_term.take()?;
        let (row, version) = self.row.as_ref()?;
        let row = LeaderRow {
            fence,
            holder: Arc::from(""),
            settled_era: row.settled_era,
            tree: row.tree.clone(),
        };
        tracing::info!(instance = &*self.instance, fence, "leadership released");
        Some((row, *version))
    }

    /// Records that the row was changed by another write, or by an earlier write of this instance
    /// whose answer was lost. The next read shows which.
    pub fn record_conflict(&mut self) {
        if self.own_term.take().is_some() {
            tracing::info!(instance = &*self.instance, "leadership not renewed");
        }
    }

    /// Records that an engine has already received an order from a newer leader.
    pub fn record_fenced(&mut self) {
        if self.own_term.take().is_some() {
            tracing::warn!(
                instance = &*self.instance,
                "leadership ended: an engine has received an order from a newer leader"
            );
        }
    }

    /// Whether this instance holds the leadership, even if its term has expired without a renewal.
    #[must_use]
    pub fn holds_leadership(&self) -> bool {
        self.own_term.is_some()
    }

    /// Fencing token for the orders of this instance; none if it does not lead or its term has
    /// expired.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<u64> {
        let (fence, renewed_at) = self.own_term?;
        (now.saturating_sub(renewed_at) < self.settings.term).then_some(fence)
    }
}

/// Locks the leadership state that the loops of an instance share.
pub(crate) fn lock(leadership: &Mutex<Leadership>) -> MutexGuard<'_, Leadership> {
    leadership.lock().unwrap_or_else(PoisonError::into_inner)
}
