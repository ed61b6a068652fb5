use super::*;

/// Interval at which the reading loops check whether this instance still uses relayed state.
pub(crate) const RELAYED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between trees built by a leader.
const MIN_TREE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which another instance is considered to be answering after its last answer.
const PEER_ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// State that the loops of one instance share.
#[derive(Debug)]
pub struct SharedState {
    /// Counts changes of targets, configuration and tree.
    changed: watch::Sender<u64>,
    /// Time from which this instance may read the stores itself although it has found no leader.
    store_reads_from: Duration,
    settings: SharedSettings,
    state: Mutex<SharedStateInner>,
}

#[derive(Debug)]
struct SharedStateInner {
    /// Time of the last answer of another instance, even if its state was outdated.
    answered_at: Option<Duration>,
    observation: ObservationClock,
    /// Number of instances between the stores and this instance's relayed state.
    distance: u32,
    /// Instance that last sent a list of instances; none before the first one.
    instances_source: Option<SocketAddr>,
    /// Loads reported by other instances.
    loads: ReportedLoads,
    membership: Membership,
    /// Instance from which the list of targets was received, and its revision there; none if this
    /// instance read the list itself.
    origin: Option<(SocketAddr, u64)>,
    store_trust: StoreTrust,
    /// Role of this instance in the tree.
    role: TreeRole,
    /// Time at which the relayed state was current; none while this instance reads the stores
    /// itself.
    relayed_at: Option<Duration>,
    targets: TargetHistory,
    /// Time at which the targets were read from the store.
    targets_at: Option<Duration>,
    /// Current tree; none before the first leader is known.
    tree: Option<RelayTree>,
    /// Time at which this instance last built a tree as the leader.
    tree_built_at: Duration,
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new(SharedSettings::default())
    }
}

impl SharedState {
    /// Creates the state of an instance that has not read or received anything yet.
    #[must_use]
    pub fn new(settings: SharedSettings) -> Self {
        // Revisions start at the clock, so those of an earlier process at the same address are
        // lower.
        let first_revision = clock::now().as_nanos().max(1) as u64;
        Self {
            changed: watch::Sender::new(1),
            store_reads_from: clock::now() + settings.store_read_delay,
            settings,
            state: Mutex::new(SharedStateInner {
                answered_at: None,
                observation: ObservationClock::default(),
                distance: 0,
                instances_source: None,
                loads: ReportedLoads::default(),
                membership: Membership::default(),
                origin: None,
                role: TreeRole::default(),
                store_trust: StoreTrust::default(),
                relayed_at: None,
                targets: TargetHistory::new(first_revision),
                targets_at: None,
                tree: None,
                tree_built_at: Duration::ZERO,
            }),
        }
    }

    /// Current list of targets.
    pub fn targets(&self) -> Vec<Target> {
        self.lock().targets.targets().to_vec()
    }

    /// Revision of the list of targets, and the change since an earlier revision; none if it is the
    /// same.
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

    /// Revision of the list received from `source`; 0 if the list was read from the store or
    /// received from another instance.
    pub fn revision_of(&self, source: SocketAddr) -> u64 {
        match self.lock().origin {
            Some((from, revision)) if from == source => revision,
            _ => 0,
        }
    }

    /// Replaces the targets with those read from the store at `now`. Returns the previous list if
    /// it differs.
    pub fn set_targets(&self, now: Duration, targets: Vec<Target>) -> Option<Vec<Target>> {
        let mut state = self.lock();
        state.origin = None;
        state.targets_at = Some(now);
        let before = state.targets.replace(targets)?;
        drop(state);
        self.notify_changed();
        Some(before)
    }

    /// Applies the targets of an answer, unless this instance has newer ones. Returns the lists
    /// before and after the change if they differ.
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
        let is_base = state.origin == Some((relayed.source, relayed.base_revision));
        let before = match relayed.change {
            // This instance has read the list itself since it sent the query.
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

    /// Whether an answer is current enough that the stores need not be read. Other answers are not
    /// considered, so that an instance stops querying a source whose state becomes outdated.
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

    /// Wakes the tasks that wait for a change.
    pub fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Waits until the number of changes differs from `count`, for at most `wait`.
    pub async fn wait_for_change(&self, count: u64, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let change = changed.wait_for(|current| *current != count);
        let _ = timeout(wait, change).await;
    }

    /// Age of the targets; none before the first read.
    pub fn targets_age(&self, now: Duration) -> Option<Duration> {
        self.lock().targets_at.map(|at| now.saturating_sub(at))
    }

    /// Stores the loads of a child and its descendants. Returns the loads of all other instances if
    /// their last sum is at least `interval` old.
    pub fn set_loads(
        &self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
        interval: Duration,
    ) -> Option<Vec<SharedLoad>> {
        let mut state = self.lock();
        if state.loads.set_child(now, id, loads) {
            self.notify_changed();
        }
        state.loads.sum_if_due(now, interval)
    }

    /// Stores the loads received from the parent. Returns the loads of all other instances.
    pub fn set_parent_loads(&self, now: Duration, loads: Vec<SharedLoad>) -> Vec<SharedLoad> {
        let mut state = self.lock();
        if state.role == TreeRole::Leader {
            // A former leader queries its stand-ins, which already have its loads. It must not pass
            // on what it receives, because the stand-ins would count their own loads again.
            return loads;
        }
        state.loads.set_parent(now, loads);
        state.loads.sum_excluding(now, &Arc::from(""), &[])
    }

    /// Discards the loads received from an instance that no longer answers. The instances whose
    /// loads it relayed now report them by another path, so they would be counted twice.
    pub fn clear_parent_loads(&self) {
        self.lock().loads.clear_parent();
    }

    /// Sum of `own` and the loads of all instances except `id` and its descendants.
    pub fn loads_excluding(
        &self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        self.lock().loads.sum_excluding(now, id, own)
    }

    /// Loads that this instance reports to its parent: its own and, if it is a relay, those of the
    /// followers in its failure domain. Other instances that queried it recently report to another
    /// instance by now, or soon will.
    pub fn loads_for_parent(
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

    /// Runs `act` on the membership while the state is locked.
    pub fn with_membership<T>(&self, act: impl FnOnce(&mut Membership) -> T) -> T {
        act(&mut self.lock().membership)
    }

    /// Current tree; none before the first leader is known.
    pub fn tree(&self) -> Option<RelayTree> {
        self.lock().tree.clone()
    }

    /// Version of the tree; the lowest version if no tree is known.
    pub fn tree_version(&self) -> TreeVersion {
        let state = self.lock();
        state
            .tree
            .as_ref()
            .map(|tree| tree.version)
            .unwrap_or_default()
    }

    /// Replaces the tree if the given one is newer. `own` is the address at which this instance
    /// receives queries.
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
            // The instances whose loads came from the parent now query this instance, which reads
            // the stores itself.
            state.loads.clear_parent();
            state.relayed_at = None;
        }
        tracing::info!(
            fence = tree.version.fence,
            number = tree.version.number,
            leader = %tree.leader,
            stand_ins = ?tree.stand_ins,
            relays = tree.relays.values().map(Vec::len).sum::<usize>(),
            place = ?state.role,
            "relay tree changed"
        );
        state.tree = Some(tree);
        drop(state);
        self.notify_changed();
    }

    /// Builds the tree of this instance as the leader with `fence`. Returns the previous tree if
    /// nothing has changed.
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

    /// Rebuilds the tree, unless this was done less than `MIN_TREE_INTERVAL` ago.
    pub fn refresh_tree(&self, now: Duration, fence: u64, own: &InstanceRow) {
        let built_at = self.lock().tree_built_at;
        if now.saturating_sub(built_at) < MIN_TREE_INTERVAL {
            return;
        }
        let tree = self.build_tree(now, fence, own);
        self.set_tree(tree, own.relay_address);
    }

    /// Instance that last sent a list of instances; none before the first one.
    pub fn instances_source(&self) -> Option<SocketAddr> {
        self.lock().instances_source
    }

    /// Records which instance sent a list of instances.
    pub fn set_instances_source(&self, source: SocketAddr) {
        self.lock().instances_source = Some(source);
    }

    /// Role of this instance in the tree.
    pub fn role(&self) -> TreeRole {
        self.lock().role
    }

    /// Whether this instance has just started, and waits for a leader instead of reading the stores
    /// itself.
    pub fn waits_for_leader(&self, now: Duration) -> bool {
        now < self.store_reads_from && self.lock().role != TreeRole::Leader
    }

    /// Whether another instance answers queries and this one is not a stand-in. In that case, a
    /// store that does not answer can be retried less often, because the answers show when it has
    /// recovered.
    pub fn is_peer_answering(&self, now: Duration) -> bool {
        let state = self.lock();
        let is_recent = |at| now.saturating_sub(at) < PEER_ANSWER_VALIDITY;
        state.role != TreeRole::StandIn && state.answered_at.is_some_and(is_recent)
    }

    /// Number of instances between the stores and the state of this instance. A former leader
    /// receives its state from the instances that query it, so its distance is the maximum and its
    /// answers are refused.
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

    /// Records that another instance sent a query or an answer.
    pub fn record_contact(&self, now: Duration) {
        self.lock().observation.record_contact(now);
    }

    /// Time in which this instance could observe the store and the other instances, so far.
    pub fn observed_time(&self, now: Duration) -> Duration {
        let mut state = self.lock();
        let knows_others = state.membership.knows_others(now);
        state.observation.tick(now, knows_others)
    }

    /// Whether this instance did not run until a moment ago, so that others had no time to reach it since.
    pub fn has_just_woken(&self, now: Duration) -> bool {
        self.observed_time(now);
        self.lock().observation.has_just_woken(now)
    }

    /// Earliest time at which a message that this instance reads at `now` may have been sent.
    pub fn earliest_sending(&self, now: Duration) -> Duration {
        self.observed_time(now);
        self.lock().observation.earliest_sending(now)
    }

    /// Current list of targets and the time since it was read from the store; none if this instance has read
    /// it itself.
    pub fn relayed_targets(&self, now: Duration) -> Option<(Vec<Target>, Duration)> {
        let state = self.lock();
        state.origin?;
        let age = now.saturating_sub(state.targets_at?);
        Some((state.targets.targets().to_vec(), age))
    }

    /// Runs `act` on what is known about the age of the store while the state is locked.
    pub fn with_store_trust<T>(&self, act: impl FnOnce(&mut StoreTrust) -> T) -> T {
        act(&mut self.lock().store_trust)
    }

    /// Discards the confirmation of relayed state, so that this instance reads the stores itself.
    pub fn discard_relayed_state(&self) {
        self.lock().relayed_at = None;
    }

    /// Whether this instance has current relayed state and need not read the stores itself.
    pub fn uses_relayed_state(&self, now: Duration) -> bool {
        let state = self.lock();
        let limit = self.max_age(&state);
        state
            .relayed_at
            .is_some_and(|at| now.saturating_sub(at) < limit)
    }

    /// Age up to which this instance uses relayed state.
    fn max_age(&self, state: &SharedStateInner) -> Duration {
        state.role.max_age(self.settings.max_state_age)
    }

    fn lock(&self) -> MutexGuard<'_, SharedStateInner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
