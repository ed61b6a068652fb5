use super::*;

/// Most by which the age of a row seems higher than it is: its holder dates it by an answer of the
/// store that took up to 200 ms, and the write took as long.
const MAX_AGE_ERROR: Duration = Duration::from_millis(500);

/// Settings of the choice of a leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeadershipSettings {
    /// Time without a change of the leader's row after which another instance takes over.
    pub lease: Duration,
    /// Time for which this instance lets others take a free lead first. Twice as long at most, as each
    /// instance draws a part of it.
    pub takeover_delay: Duration,
    /// Time after the last confirmed renewal for which the leader gives orders. Below `lease`, so
    /// that it stops before another one starts.
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

/// Row of the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderRow {
    /// Number that grows with each change of the leader; engines refuse lower ones.
    pub fence: u64,
    /// Instance that leads, as the id of its start; empty if it gave up the lead.
    pub holder: Arc<str>,
    /// Which instances ask which; none if that is not known.
    pub tree: Option<RelayTree>,
}

impl LeaderRow {
    /// Row by which nobody leads.
    #[must_use]
    pub fn released(fence: u64) -> Self {
        Self {
            fence,
            holder: Arc::from(""),
            tree: None,
        }
    }
}

/// What to do about the leader's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Write the row, on the condition that its version is still the expected one.
    Write {
        /// Version that the row must have; 0 if it must not exist.
        expected_version: u64,
        /// Fence of the new row.
        fence: u64,
    },
}

/// Decides which instance leads, by a row that its holder writes again and again.
///
/// Ages are measured on this instance's own clock from when it first saw a version, so that clocks
/// need not agree. The age that a version had then counts as far as it is certain.
#[derive(Clone, Debug)]
pub struct Leadership {
    instance: Arc<str>,
    /// Whether the leader named this instance as one that stands in for it.
    is_stand_in: bool,
    /// Fence of this instance's own term, and when the write that began or renewed it was sent.
    own_term: Option<(u64, Duration)>,
    /// Where this instance takes calls of others.
    relay_address: SocketAddr,
    row: Option<(LeaderRow, u64)>,
    version_seen_at: Option<Duration>,
    settings: LeadershipSettings,
}

impl Leadership {
    /// Creates the state of an instance. `instance` is the id of its start, which is that of the
    /// instance, a dot, and what differs between starts.
    #[must_use]
    pub fn new(
        instance: Arc<str>,
        relay_address: SocketAddr,
        settings: LeadershipSettings,
    ) -> Self {
        Self {
            instance,
            is_stand_in: false,
            own_term: None,
            relay_address,
            row: None,
            version_seen_at: None,
            settings,
        }
    }

    /// Id of this start.
    #[must_use]
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Notes the row, its version, and the time since it was written by the clock of the store.
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

    /// What to do now.
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
                fence: 1,
            };
        };
        if row.holder == self.instance {
            // A renewal whose answer was lost has ended the term here, so a new one begins.
            let fence = row.fence + u64::from(self.own_term.is_none());
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
            fence: row.fence + 1,
        }
    }

    /// Time for which this instance lets others take a free lead first.
    #[must_use]
    pub fn takeover_delay(&self) -> Duration {
        let mut hasher = DefaultHasher::new();
        self.instance.hash(&mut hasher);
        let share = (hasher.finish() % 1_000) as f64 / 1_000.0;
        self.settings.takeover_delay.mul_f64(1.0 + share)
    }

    /// Whether a former process of this instance held the lead: the platform starts a process anew only
    /// after the one before has ended. The address tells it from another machine of the same name.
    fn is_held_by_previous_process(&self, row: &LeaderRow) -> bool {
        let id = |start: &str| start.rsplit_once('.').map(|(id, _)| id.to_owned());
        let is_same = id(&row.holder).is_some_and(|holder| Some(holder) == id(&self.instance));
        let leader = row.tree.as_ref().map(|tree| tree.leader);
        is_same && leader == Some(self.relay_address)
    }

    /// Notes that a write sent at `sent_at` was accepted.
    pub fn record_write(&mut self, sent_at: Duration, row: LeaderRow, version: u64) {
        if self.own_term.is_none_or(|(fence, _)| fence != row.fence) {
            tracing::info!(
                instance = &*self.instance,
                fence = row.fence,
                "leadership taken"
            );
        }
        self.own_term = Some((row.fence, sent_at));
        self.row = Some((row, version));
        self.version_seen_at = Some(sent_at);
    }

    /// Gives up the lead, if this instance has it. Returns the row to write and its expected version.
    pub fn release(&mut self) -> Option<(LeaderRow, u64)> {
        let (fence, _) = self.own_term.take()?;
        let (row, version) = self.row.as_ref()?;
        let row = LeaderRow {
            fence,
            holder: Arc::from(""),
            tree: row.tree.clone(),
        };
        tracing::info!(instance = &*self.instance, fence, "leadership given up");
        Some((row, *version))
    }

    /// Notes that another write of the row came first, or an earlier one of this instance whose answer
    /// was lost. What holds shows with the next read.
    pub fn record_conflict(&mut self) {
        if self.own_term.take().is_some() {
            tracing::info!(instance = &*self.instance, "leadership not renewed");
        }
    }

    /// Notes that an engine has seen an order of a newer leader.
    pub fn record_fenced(&mut self) {
        if self.own_term.take().is_some() {
            tracing::warn!(instance = &*self.instance, "an engine knows a newer leader");
        }
    }

    /// Whether this instance has the lead, be it only until its term ends.
    #[must_use]
    pub fn has_lead(&self) -> bool {
        self.own_term.is_some()
    }

    /// Fence of this instance's orders; none if it does not lead.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<u64> {
        let (fence, renewed_at) = self.own_term?;
        (now.saturating_sub(renewed_at) < self.settings.term).then_some(fence)
    }
}

/// Locks the state that the loops of an instance share.
pub(crate) fn lock(leadership: &Mutex<Leadership>) -> MutexGuard<'_, Leadership> {
    leadership.lock().unwrap_or_else(PoisonError::into_inner)
}
