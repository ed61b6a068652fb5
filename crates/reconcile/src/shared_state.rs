use super::*;

/// Age of relayed knowledge up to which an instance does not read the stores itself. With a read of
/// its own it stays below the two seconds after which a leaving target must get no new work.
const RELAYED_AGE: Duration = Duration::from_millis(1_300);

/// Pause of the reading loops while the leader reads for this instance.
pub(crate) const RELAYED_PAUSE: Duration = Duration::from_millis(100);
/// Age at which the load of an instance that no longer calls is forgotten.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// What the loops of one instance share.
#[derive(Debug)]
pub struct SharedState {
    changed: watch::Sender<u64>,
    state: Mutex<SharedContent>,
}

#[derive(Debug, Default)]
struct SharedContent {
    /// Loads of the instances that call this one, with the time of the call.
    loads: HashMap<Arc<str>, (Vec<SharedLoad>, Duration)>,
    membership: Membership,
    /// When the relayed knowledge was current; none while this instance reads itself.
    relayed_at: Option<Duration>,
    targets: Vec<Target>,
    /// When the targets were read.
    targets_at: Option<Duration>,
}

/// Question of an instance to the leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Version of the configuration that the asking instance has; 0 if none.
    pub catalog_version: u64,
    /// Crashes that the asking instance saw.
    pub crashes: Vec<CrashReport>,
    /// What the requests of the asking instance take.
    pub loads: Vec<SharedLoad>,
    /// Whether the asking instance is leaving.
    pub is_leaving: bool,
    /// Number of the list of targets that it has from this leader; 0 if none.
    pub revision: u64,
    /// The asking instance.
    pub row: InstanceRow,
    /// Longest wait for a change.
    pub wait: Duration,
}

/// Answer of the leader.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Configuration, if it is newer than the one of the asking instance.
    pub catalog: Option<CatalogParts>,
    /// Time since the read that confirmed the configuration was sent.
    pub catalog_age: Duration,
    /// Crashes that all other instances saw.
    pub crashes: Vec<CrashReport>,
    /// Instances that callers may use.
    pub instances: Vec<Instance>,
    /// What the requests of all other instances take.
    pub other_loads: Vec<SharedLoad>,
    /// Number of the list of targets.
    pub revision: u64,
    /// Targets, if they are others than those of the asking instance.
    pub targets: Option<Vec<Target>>,
    /// Time since the targets were read.
    pub targets_age: Duration,
    /// Time from the arrival of the question to the answer.
    pub waited: Duration,
}

/// Calls an instance that reads the stores for others.
pub trait Relay: Send + Sync {
    /// Asks for what is newer than what this instance knows.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer in time, or the other one does not lead.
    fn ask(&self, address: SocketAddr, query: Query) -> BoxFuture<'_, Result<Answer, Error>>;
}

impl Default for SharedState {
    fn default() -> Self {
        Self {
            changed: watch::Sender::new(1),
            state: Mutex::default(),
        }
    }
}

impl SharedState {
    /// Targets.
    pub fn targets(&self) -> Vec<Target> {
        self.lock().targets.clone()
    }

    /// Number of the list of targets; changes with it.
    pub fn revision(&self) -> u64 {
        *self.changed.borrow()
    }

    /// Notes that the targets were read and have not changed.
    pub fn confirm_targets(&self, now: Duration) {
        self.lock().targets_at = Some(now);
    }

    /// Replaces the targets. Returns those before.
    pub fn set_targets(&self, now: Duration, targets: Vec<Target>) -> Vec<Target> {
        let mut state = self.lock();
        state.targets_at = Some(now);
        if state.targets == targets {
            return targets;
        }
        let before = std::mem::replace(&mut state.targets, targets);
        drop(state);
        self.changed.send_modify(|revision| *revision += 1);
        before
    }

    /// Wakes those who wait for a change.
    pub fn wake(&self) {
        self.changed.send_modify(|revision| *revision += 1);
    }

    /// Waits until the number differs from `revision`, for at most `wait`.
    pub async fn wait(&self, revision: u64, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let change = changed.wait_for(|current| *current != revision);
        let _ = timeout(wait, change).await;
    }

    /// Whether the targets were read later than `at`, for example by this instance itself.
    pub fn is_newer_than(&self, at: Duration) -> bool {
        self.lock()
            .targets_at
            .is_some_and(|targets_at| targets_at > at)
    }

    /// Age of the targets; none before the first read.
    pub fn targets_age(&self, now: Duration) -> Option<Duration> {
        self.lock().targets_at.map(|at| now.saturating_sub(at))
    }

    /// Notes the loads of an instance.
    pub fn set_loads(&self, now: Duration, id: &Arc<str>, loads: Vec<SharedLoad>) {
        self.lock().loads.insert(id.clone(), (loads, now));
    }

    /// Loads of all instances that called lately, but for one, and of this instance.
    pub fn loads_without(
        &self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let mut state = self.lock();
        state
            .loads
            .retain(|_, (_, at)| now.saturating_sub(*at) < LOAD_AGE);
        let others = state.loads.iter().filter(|(from, _)| *from != id);
        SharedLoad::sum(others.flat_map(|(_, (loads, _))| loads).chain(own))
    }

    /// Members.
    pub fn with_membership<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> T {
        act(&mut self.lock().membership)
    }

    /// Notes when relayed knowledge was current.
    pub fn relayed(&self, at: Duration) {
        let mut state = self.lock();
        state.relayed_at = state.relayed_at.max(Some(at));
    }

    /// Forgets relayed knowledge, so that this instance reads the stores itself.
    pub fn relay_lost(&self) {
        self.lock().relayed_at = None;
    }

    /// Whether this instance knows what the leader knows and need not read the stores itself.
    pub fn is_relayed(&self, now: Duration) -> bool {
        let relayed_at = self.lock().relayed_at;
        relayed_at.is_some_and(|at| now.saturating_sub(at) < RELAYED_AGE)
    }

    fn lock(&self) -> MutexGuard<'_, SharedContent> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
