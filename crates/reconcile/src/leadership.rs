use super::*;

/// Most by which the age of a row seems higher than it is: its holder dates it by an answer of the
/// store that took up to 200 ms, and the write took as long.
const AGE_ERROR: Duration = Duration::from_millis(500);

/// Settings of the choice of a leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeadershipSettings {
    /// Time without a change of the leader's row after which another instance takes over.
    pub lease: Duration,
    /// Time after the last confirmed renewal for which the leader gives orders. Below `lease`, so
    /// that it stops before another one starts.
    pub term: Duration,
}

impl Default for LeadershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_000),
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
    /// Ids of the instances that the leader knows to live.
    pub live: Vec<Arc<str>>,
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
        /// New row.
        row: LeaderRow,
    },
}

/// Decides which instance leads, by a row that its holder writes again and again.
///
/// Ages are measured on this instance's own clock from when it first saw a version, so that clocks
/// need not agree. The age that a version had then counts as far as it is certain.
#[derive(Clone, Debug)]
pub struct Leadership {
    instance: Arc<str>,
    /// Instances that this one knows to live.
    live: Vec<Arc<str>>,
    /// Fence of this instance's own term, and when the write that began or renewed it was sent.
    own: Option<(u64, Duration)>,
    row: Option<(LeaderRow, u64)>,
    seen_at: Option<Duration>,
    settings: LeadershipSettings,
}

impl Leadership {
    /// Creates the state of an instance, which must not use its id again after a restart.
    #[must_use]
    pub fn new(instance: Arc<str>, settings: LeadershipSettings) -> Self {
        Self {
            instance,
            live: Vec::new(),
            own: None,
            row: None,
            seen_at: None,
            settings,
        }
    }

    /// Sets which instances the row names as living.
    pub fn set_live(&mut self, live: Vec<Arc<str>>) {
        self.live = live;
    }

    /// Start id of the instance that leads, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<&Arc<str>> {
        self.row.as_ref().map(|(row, _)| &row.holder)
    }

    /// Notes the row, its version, and the time since it was written by the clock of the store.
    pub fn observe(&mut self, now: Duration, row: Option<(LeaderRow, u64)>, age: Duration) {
        let version = |row: &Option<(LeaderRow, u64)>| row.as_ref().map(|(_, version)| *version);
        if self.seen_at.is_none() || version(&row) != version(&self.row) {
            let age = age.saturating_sub(AGE_ERROR);
            self.seen_at = Some(now.saturating_sub(age));
        }
        let is_other = row
            .as_ref()
            .is_none_or(|(row, _)| row.holder != self.instance);
        if is_other && self.own.take().is_some() {
            tracing::info!(
                instance = &*self.instance,
                "leadership lost to another instance"
            );
        }
        self.row = row;
    }

    /// What to do now.
    #[must_use]
    pub fn step(&self, now: Duration) -> LeaseStep {
        let Some(seen_at) = self.seen_at else {
            return LeaseStep::Wait;
        };
        let Some((row, version)) = &self.row else {
            return self.write(1, 0);
        };
        if row.holder == self.instance {
            // A renewal whose answer was lost has ended the term here, so a new one begins.
            let fence = row.fence + u64::from(self.own.is_none());
            return self.write(fence, *version);
        }
        let is_released = row.holder.is_empty();
        if !is_released && now.saturating_sub(seen_at) < self.settings.lease {
            return LeaseStep::Wait;
        }
        self.write(row.fence + 1, *version)
    }

    /// Notes that a write sent at `sent_at` was accepted.
    pub fn written(&mut self, sent_at: Duration, row: LeaderRow, version: u64) {
        if self.own.is_none_or(|(fence, _)| fence != row.fence) {
            tracing::info!(
                instance = &*self.instance,
                fence = row.fence,
                "leadership taken"
            );
        }
        self.own = Some((row.fence, sent_at));
        self.row = Some((row, version));
        self.seen_at = Some(sent_at);
    }

    /// Gives up the lead, if this instance has it. Returns the row to write and its expected version.
    pub fn release(&mut self) -> Option<(LeaderRow, u64)> {
        let (fence, _) = self.own.take()?;
        let (_, version) = self.row.as_ref()?;
        let row = LeaderRow {
            fence,
            holder: Arc::from(""),
            live: self.live.clone(),
        };
        tracing::info!(instance = &*self.instance, fence, "leadership given up");
        Some((row, *version))
    }

    /// Notes that another write of the row came first, or an earlier one of this instance whose answer
    /// was lost. What holds shows with the next read.
    pub fn conflicted(&mut self) {
        if self.own.take().is_some() {
            tracing::info!(instance = &*self.instance, "leadership not renewed");
        }
    }

    /// Notes that an engine has seen an order of a newer leader.
    pub fn fenced(&mut self) {
        if self.own.take().is_some() {
            tracing::warn!(instance = &*self.instance, "an engine knows a newer leader");
        }
    }

    /// Fence of this instance's orders; none if it does not lead.
    #[must_use]
    pub fn fence(&self, now: Duration) -> Option<u64> {
        let (fence, renewed_at) = self.own?;
        (now.saturating_sub(renewed_at) < self.settings.term).then_some(fence)
    }

    fn write(&self, fence: u64, expected_version: u64) -> LeaseStep {
        LeaseStep::Write {
            expected_version,
            row: LeaderRow {
                fence,
                holder: self.instance.clone(),
                live: self.live.clone(),
            },
        }
    }
}

/// Locks the state that the loops of an instance share.
pub(crate) fn lock(leadership: &Mutex<Leadership>) -> MutexGuard<'_, Leadership> {
    leadership.lock().unwrap_or_else(PoisonError::into_inner)
}
