use super::*;

/// Age of relayed knowledge up to which an instance does not read the stores itself. With a read of
/// its own it stays below the two seconds after which a leaving target must get no new work.
const RELAYED_AGE: Duration = Duration::from_millis(1_300);
/// The same age for those that stand in for the leader, so that they know more when others ask them.
const STAND_IN_AGE: Duration = Duration::from_millis(1_000);
/// Pause of the reading loops while another instance reads for this one.
pub(crate) const RELAYED_PAUSE: Duration = Duration::from_millis(100);
/// Largest distance of an answer that counts: that of a stand-in that follows the leader. More of it
/// shows instances that follow each other in a circle, in which nobody reads the stores.
const MOST_DISTANCE: u32 = 1;
/// Time after an answer of another instance for which it is taken to go on answering.
const ANSWER_AGE: Duration = Duration::from_secs(2);

/// What the loops of one instance share.
#[derive(Debug)]
pub struct SharedState {
    /// Counts changes of targets and configuration.
    changed: watch::Sender<u64>,
    state: Mutex<SharedContent>,
}

#[derive(Debug)]
struct SharedContent {
    /// When another instance answered last, however old its knowledge was.
    answered_at: Option<Duration>,
    /// Number of instances between the stores and the relayed knowledge.
    distance: u32,
    /// Whether this instance stands in for the leader.
    is_stand_in: bool,
    /// Loads of the instances that call this one.
    loads: LoadTable,
    /// When the sum of the loads was taken last.
    loads_taken_at: Duration,
    membership: Membership,
    /// Instance whose list of targets this is, and its revision there; none after a read of its own.
    origin: Option<(SocketAddr, u64)>,
    /// When the relayed knowledge was current; none while this instance reads itself.
    relayed_at: Option<Duration>,
    /// Where to ask, in this order.
    sources: Vec<SocketAddr>,
    targets: TargetHistory,
    /// When the targets were read.
    targets_at: Option<Duration>,
}

/// Targets of an answer.
#[derive(Clone, Debug)]
pub struct RelayedTargets {
    /// Revision that the question named.
    pub asked_revision: u64,
    /// Change since that revision; none if there is none.
    pub change: Option<TargetChange>,
    /// When the configuration of the same answer was confirmed.
    pub confirmed_at: Duration,
    /// Number of instances between the stores and the answer.
    pub distance: u32,
    /// When the targets were read.
    pub read_at: Duration,
    /// Revision after the change.
    pub revision: u64,
    /// Instance that answered.
    pub source: SocketAddr,
}

impl Default for SharedState {
    fn default() -> Self {
        // Revisions of an earlier process at the same address are lower.
        let first_revision = clock::now().as_nanos().max(1) as u64;
        Self {
            changed: watch::Sender::new(1),
            state: Mutex::new(SharedContent {
                answered_at: None,
                distance: 0,
                is_stand_in: false,
                loads: LoadTable::default(),
                loads_taken_at: Duration::ZERO,
                membership: Membership::default(),
                origin: None,
                relayed_at: None,
                sources: Vec::new(),
                targets: TargetHistory::new(first_revision),
                targets_at: None,
            }),
        }
    }
}

impl SharedState {
    /// Targets.
    pub fn targets(&self) -> Vec<Target> {
        self.lock().targets.targets().to_vec()
    }

    /// Revision of the list of targets, and what has changed since an earlier one.
    pub fn targets_since(&self, revision: u64) -> (u64, Option<TargetChange>) {
        let state = self.lock();
        let current = state.targets.revision();
        let change = (current != revision).then(|| state.targets.since(revision));
        (current, change)
    }

    /// Revision of the list of targets.
    pub fn revision(&self) -> u64 {
        self.lock().targets.revision()
    }

    /// Revision of the list that this instance has from another one; 0 if it has none or its own.
    pub fn revision_of(&self, source: SocketAddr) -> u64 {
        match self.lock().origin {
            Some((from, revision)) if from == source => revision,
            _ => 0,
        }
    }

    /// Replaces the targets by those that this instance read. Returns those before if they were others.
    pub fn set_targets(&self, now: Duration, targets: Vec<Target>) -> Option<Vec<Target>> {
        let mut state = self.lock();
        state.origin = None;
        state.targets_at = Some(now);
        let before = state.targets.replace(targets)?;
        drop(state);
        self.wake();
        Some(before)
    }

    /// Takes over the targets of an answer, unless this instance has newer ones. Returns the lists
    /// before and after if they differ.
    pub fn take_relayed(&self, relayed: RelayedTargets) -> Option<(Vec<Target>, Vec<Target>)> {
        let mut state = self.lock();
        state.answered_at = Some(clock::now());
        if relayed.distance > MOST_DISTANCE {
            return None;
        }
        state.distance = relayed.distance + 1;
        // A wait for a change of the configuration says nothing about the targets, which are read by
        // themselves.
        let current_at = relayed
            .read_at
            .min(relayed.confirmed_at + catalog_loop::WAIT);
        if state.targets_at.is_some_and(|at| at > relayed.read_at) {
            state.relayed_at = state.relayed_at.max(Some(current_at));
            return None;
        }
        let is_base = state.origin == Some((relayed.source, relayed.asked_revision));
        let before = match relayed.change {
            // This instance has read the list itself since it asked.
            None | Some(TargetChange::Some(..)) if !is_base => return None,
            None => None,
            Some(change) => state.targets.apply(change),
        };
        state.origin = Some((relayed.source, relayed.revision));
        state.targets_at = Some(relayed.read_at);
        state.relayed_at = state.relayed_at.max(Some(current_at));
        let before = before?;
        let listing = state.targets.targets().to_vec();
        drop(state);
        self.wake();
        Some((before, listing))
    }

    /// Number of changes so far.
    pub fn change_count(&self) -> u64 {
        *self.changed.borrow()
    }

    /// Wakes those who wait for a change.
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits until there are more changes than `count`, for at most `wait`.
    pub async fn wait(&self, count: u64, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let change = changed.wait_for(|current| *current != count);
        let _ = timeout(wait, change).await;
    }

    /// Age of the targets; none before the first read.
    pub fn targets_age(&self, now: Duration) -> Option<Duration> {
        self.lock().targets_at.map(|at| now.saturating_sub(at))
    }

    /// Notes the loads of an instance. Returns the sum of all if it was not taken for `interval`.
    pub fn set_loads(
        &self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
        interval: Duration,
    ) -> Option<Vec<SharedLoad>> {
        let mut state = self.lock();
        if state.loads.set(now, id, loads) {
            self.wake();
        }
        if now.saturating_sub(state.loads_taken_at) < interval {
            return None;
        }
        state.loads_taken_at = now;
        let nobody = Arc::from("");
        Some(state.loads.without(&nobody, &[]))
    }

    /// Loads of all instances that called lately, but for one, and of this instance.
    pub fn loads_without(&self, id: &Arc<str>, own: &[SharedLoad]) -> Vec<SharedLoad> {
        self.lock().loads.without(id, own)
    }

    /// Members.
    pub fn with_membership<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> T {
        act(&mut self.lock().membership)
    }

    /// Where to ask: the leader, then those that stand in for it.
    pub fn sources(&self) -> Vec<SocketAddr> {
        self.lock().sources.clone()
    }

    /// Notes where to ask, and whether the instance at `own` stands in for the leader.
    pub fn set_sources(&self, sources: Vec<SocketAddr>, own: SocketAddr) {
        let mut state = self.lock();
        state.is_stand_in = sources.contains(&own);
        state.sources = sources;
    }

    /// Whether this instance stands in for the leader.
    pub fn is_stand_in(&self) -> bool {
        self.lock().is_stand_in
    }

    /// Whether another instance answers, and this one does not stand in for the leader. Then there is
    /// no hurry with a store that does not answer: the others tell when it does.
    pub fn is_served(&self, now: Duration) -> bool {
        let state = self.lock();
        let is_recent = |at| now.saturating_sub(at) < ANSWER_AGE;
        !state.is_stand_in && state.answered_at.is_some_and(is_recent)
    }

    /// Number of instances between the stores and what this instance knows.
    pub fn distance(&self, now: Duration) -> u32 {
        if !self.is_relayed(now) {
            return 0;
        }
        self.lock().distance
    }

    /// Forgets relayed knowledge, so that this instance reads the stores itself.
    pub fn relay_lost(&self) {
        self.lock().relayed_at = None;
    }

    /// Whether this instance knows what others know and need not read the stores itself.
    pub fn is_relayed(&self, now: Duration) -> bool {
        let state = self.lock();
        let limit = if state.is_stand_in {
            STAND_IN_AGE
        } else {
            RELAYED_AGE
        };
        state
            .relayed_at
            .is_some_and(|at| now.saturating_sub(at) < limit)
    }

    fn lock(&self) -> MutexGuard<'_, SharedContent> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
