use super::*;

/// Pause of the reading loops while another instance reads for this one.
pub(crate) const RELAYED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between trees of a leader.
const MIN_TREE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after an answer of another instance for which it is taken to go on answering.
const PEER_ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// What the loops of one instance share.
#[derive(Debug)]
pub struct SharedState {
    /// Counts changes of targets, configuration and tree.
    changed: watch::Sender<u64>,
    /// When this instance may read the stores itself although it has no leader yet.
    store_reads_from: Duration,
    settings: SharedSettings,
    state: Mutex<SharedStateInner>,
}

#[derive(Debug)]
struct SharedStateInner {
    /// When another instance answered last, however old its knowledge was.
    answered_at: Option<Duration>,
    /// Number of instances between the stores and the relayed knowledge.
    distance: u32,
    /// When the list of instances was formed that this one was told; none if it formed it itself.
    instances_built_at: Option<Duration>,
    /// Loads that this instance hears of.
    loads: ReportedLoads,
    membership: Membership,
    /// Instance whose list of targets this is, and its revision there; none after a read of its own.
    origin: Option<(SocketAddr, u64)>,
    /// Place of this instance in the tree.
    role: TreeRole,
    /// When the relayed knowledge was current; none while this instance reads itself.
    relayed_at: Option<Duration>,
    targets: TargetHistory,
    /// When the targets were read.
    targets_at: Option<Duration>,
    /// Which instances ask which; none before the first leader is known.
    tree: Option<RelayTree>,
    /// When this instance last formed a tree as the leader.
    tree_built_at: Duration,
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new(SharedSettings::default())
    }
}

impl SharedState {
    /// Creates the state of an instance that knows nothing.
    #[must_use]
    pub fn new(settings: SharedSettings) -> Self {
        // Revisions of an earlier process at the same address are lower.
        let first_revision = clock::now().as_nanos().max(1) as u64;
        Self {
            changed: watch::Sender::new(1),
            store_reads_from: clock::now() + settings.store_read_delay,
            settings,
            state: Mutex::new(SharedStateInner {
                answered_at: None,
                distance: 0,
                instances_built_at: None,
                loads: ReportedLoads::default(),
                membership: Membership::default(),
                origin: None,
                role: TreeRole::default(),
                relayed_at: None,
                targets: TargetHistory::new(first_revision),
                targets_at: None,
                tree: None,
                tree_built_at: Duration::ZERO,
            }),
        }
    }

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
        self.notify_changed();
        Some(before)
    }

    /// Takes over the targets of an answer, unless this instance has newer ones. Returns the lists
    /// before and after if they differ.
    pub fn apply_relayed(&self, relayed: RelayedTargets) -> Option<(Vec<Target>, Vec<Target>)> {
        let mut state = self.lock();
        state.answered_at = Some(clock::now());
        let max_distance = state.tree.as_ref().map_or(1, RelayTree::max_distance);
        if relayed.distance > max_distance {
            return None;
        }
        state.distance = relayed.distance.saturating_add(1);
        let current_at = relayed.current_at();
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
        self.notify_changed();
        Some((before, listing))
    }

    /// Whether an answer is enough not to read the stores. What other answers told does not count, so that
    /// an instance leaves a source whose knowledge grows old.
    pub fn is_current(&self, now: Duration, relayed: &RelayedTargets) -> bool {
        let state = self.lock();
        let max_distance = state.tree.as_ref().map_or(1, RelayTree::max_distance);
        let age = now.saturating_sub(relayed.current_at());
        relayed.distance <= max_distance && age < self.max_age(&state)
    }

    /// Number of changes so far.
    pub fn change_count(&self) -> u64 {
        *self.changed.borrow()
    }

    /// Wakes those who wait for a change.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits until there are more changes than `count`, for at most `wait`.
    pub async fn wait_for_change(&self, count: u64, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let change = changed.wait_for(|current| *current != count);
        let _ = timeout(wait, change).await;
    }

    /// Age of the targets; none before the first read.
    pub fn targets_age(&self, now: Duration) -> Option<Duration> {
        self.lock().targets_at.map(|at| now.saturating_sub(at))
    }

    /// Notes the loads of an instance and of those that ask it. Returns the loads of all others if they
    /// were not taken for `interval`.
    pub fn set_loads(
        &self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
        interval: Duration,
    ) -> Option<Vec<SharedLoad>> {
        let mut state = self.lock();
        if state.loads.set_downstream(now, id, loads) {
            self.notify_changed();
        }
        state.loads.sum_if_due(now, interval)
    }

    /// Notes the loads that the instance told which this one asks. Returns the loads of all others.
    pub fn set_upstream_loads(&self, now: Duration, loads: Vec<SharedLoad>) -> Vec<SharedLoad> {
        let mut state = self.lock();
        if state.role == TreeRole::Leader {
            // It asks its stand-ins, which have heard of it. They must not hear of themselves from it.
            return loads;
        }
        state.loads.set_upstream(now, loads);
        state.loads.sum_excluding(now, &Arc::from(""), &[])
    }

    /// Forgets the loads that were told by an instance that does not answer any more. Those that it told
    /// of tell this one by now, and would count twice.
    pub fn clear_upstream_loads(&self) {
        self.lock().loads.clear_upstream();
    }

    /// Loads of all instances but for `id` and those that ask it.
    pub fn loads_excluding(
        &self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        self.lock().loads.sum_excluding(now, id, own)
    }

    /// Loads that this instance tells the one that it asks: its own, and as a relay those of the others of
    /// its failure domain. Others that asked it lately have told another one by now, or will do so.
    pub fn loads_for_upstream(
        &self,
        now: Duration,
        row: &InstanceRow,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let state = self.lock();
        let tree = state.tree.as_ref().filter(|tree| tree.is_relay(row));
        let Some(tree) = tree else {
            return own.to_vec();
        };
        let rows = state.membership.live_rows(now).into_iter();
        let followers =
            rows.filter(|follower| tree.relays_for(follower).contains(&row.relay_address));
        let ids: HashSet<&Arc<str>> = followers.map(|follower| &follower.id).collect();
        state.loads.sum_for(now, &ids, own)
    }

    /// Members.
    pub fn with_membership<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> T {
        act(&mut self.lock().membership)
    }

    /// Which instances ask which, as far as it is known.
    pub fn tree(&self) -> Option<RelayTree> {
        self.lock().tree.clone()
    }

    /// Version of the tree; the lowest one if none is known.
    pub fn tree_version(&self) -> TreeVersion {
        let state = self.lock();
        state
            .tree
            .as_ref()
            .map(|tree| tree.version)
            .unwrap_or_default()
    }

    /// Takes over a tree if it is newer than the one before. `own` is where this instance takes calls.
    pub fn set_tree(&self, tree: RelayTree, own: SocketAddr) {
        let mut state = self.lock();
        if state
            .tree
            .as_ref()
            .is_some_and(|known| known.version >= tree.version)
        {
            return;
        }
        state.role = tree.role_of(own);
        if state.role == TreeRole::Leader {
            // Those that ask this instance from now on are among them, and it reads the stores itself.
            state.loads.clear_upstream();
            state.relayed_at = None;
        }
        tracing::info!(
            fence = tree.version.fence,
            number = tree.version.number,
            leader = %tree.leader,
            stand_ins = ?tree.stand_ins,
            relays = tree.relays.values().map(Vec::len).sum::<usize>(),
            place = ?state.role,
            "relay tree"
        );
        state.tree = Some(tree);
        drop(state);
        self.notify_changed();
    }

    /// Tree of this instance as a leader with `fence`: the one before if it has not changed.
    pub fn build_tree(&self, now: Duration, fence: u64, own: &InstanceRow) -> RelayTree {
        let mut state = self.lock();
        state.tree_built_at = now;
        let known = state.tree.as_ref();
        let known = known.filter(|tree| tree.version.fence == fence);
        let number = known.map_or(0, |tree| tree.version.number + 1);
        let version = TreeVersion { fence, number };
        let tree = RelayTree::build(own, &state.membership.live_rows(now), version);
        match known {
            Some(known) if known.has_same_members(&tree) => known.clone(),
            _ => tree,
        }
    }

    /// Forms the tree anew, unless that was done a moment ago.
    pub fn refresh_tree(&self, now: Duration, fence: u64, own: &InstanceRow) {
        let formed_at = self.lock().tree_built_at;
        if now.saturating_sub(formed_at) < MIN_TREE_INTERVAL {
            return;
        }
        let tree = self.build_tree(now, fence, own);
        self.set_tree(tree, own.relay_address);
    }

    /// Time since the list of instances was formed: by this instance, or by the one that told it.
    pub fn instances_age(&self, now: Duration) -> Duration {
        let formed_at = self.lock().instances_built_at.unwrap_or(now);
        now.saturating_sub(formed_at)
    }

    /// Notes when the list of instances was formed that this instance was told; none if it forms the
    /// list itself.
    pub fn set_instances_built_at(&self, formed_at: Option<Duration>) {
        self.lock().instances_built_at = formed_at;
    }

    /// Place of this instance in the tree.
    pub fn role(&self) -> TreeRole {
        self.lock().role
    }

    /// Whether this instance has just started and waits for a leader instead of reading the stores itself.
    pub fn waits_for_leader(&self, now: Duration) -> bool {
        now < self.store_reads_from && self.lock().role != TreeRole::Leader
    }

    /// Whether another instance answers, and this one does not stand in for the leader. Then there is
    /// no hurry with a store that does not answer: the others tell when it does.
    pub fn is_peer_answering(&self, now: Duration) -> bool {
        let state = self.lock();
        let is_recent = |at| now.saturating_sub(at) < PEER_ANSWER_VALIDITY;
        state.role != TreeRole::StandIn && state.answered_at.is_some_and(is_recent)
    }

    /// Number of instances between the stores and what this instance knows. A leader that does not lead
    /// any more has its knowledge from those that ask it, and must not be followed.
    pub fn distance(&self, now: Duration) -> u32 {
        if !self.uses_relayed_state(now) {
            return 0;
        }
        let state = self.lock();
        match state.role {
            TreeRole::Leader => u32::MAX,
            _ => state.distance,
        }
    }

    /// Forgets relayed knowledge, so that this instance reads the stores itself.
    pub fn discard_relayed_state(&self) {
        self.lock().relayed_at = None;
    }

    /// Whether this instance knows what others know and need not read the stores itself.
    pub fn uses_relayed_state(&self, now: Duration) -> bool {
        let state = self.lock();
        let limit = self.max_age(&state);
        state
            .relayed_at
            .is_some_and(|at| now.saturating_sub(at) < limit)
    }

    /// Age up to which this instance uses what others know.
    fn max_age(&self, state: &SharedStateInner) -> Duration {
        state.role.max_age(self.settings.max_state_age)
    }

    fn lock(&self) -> MutexGuard<'_, SharedStateInner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
