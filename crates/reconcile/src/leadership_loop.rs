use super::*;

/// Time between renewals of the leader's row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between reads of the row by an instance that has no leader to follow.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);
/// Reads in `SEARCH_INTERVAL`; later ones come in `INTERVAL`.
const SEARCH_ROUNDS: u32 = 8;
/// Time between reads while the table does not answer, but other instances do.
const PEER_INTERVAL: Duration = Duration::from_millis(3_000);
/// Time between looks at whether there is something to do.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds of the leader between reads of the row.
const LEADER_READ_ROUNDS: u32 = 5;

/// Finds the leader when this instance follows none, takes the lead when it is free, and renews it.
/// Keeps the instances that callers are told current while no other one tells them.
pub async fn run_leadership(
    router: Arc<Router>,
    table: Box<dyn LeaderTable>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    // Instances that start together let those that read soonest find or become the leader.
    if shared.waits_for_leader(clock::now()) {
        let takeover_delay = lock(&leadership).takeover_delay();
        sleep(takeover_delay / 2).await;
    }
    let mut runner = LeadershipLoop {
        leadership,
        status: DependencyStatus::new("leader table"),
        must_read: true,
        round_count: 0,
        router,
        row,
        shared,
        table,
    };
    loop {
        let pause = runner.run_round().await;
        sleep(pause).await;
    }
}

struct LeadershipLoop {
    leadership: Arc<Mutex<Leadership>>,
    status: DependencyStatus,
    /// Whether the version of the row is not known for certain.
    must_read: bool,
    /// Rounds since this instance last followed another one.
    round_count: u32,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    table: Box<dyn LeaderTable>,
}

impl LeadershipLoop {
    /// Does what is due. Returns the time until the next round.
    async fn run_round(&mut self) -> Duration {
        let started_at = clock::now();
        let is_leading = lock(&self.leadership).fence(started_at).is_some();
        let has_leader = self.shared.uses_relayed_state(started_at) && !is_leading;
        if has_leader && !self.must_release() {
            self.round_count = 0;
            self.must_read = true;
            return POLL_INTERVAL;
        }
        self.round_count = self.round_count.saturating_add(1);
        self.publish_membership(started_at);
        match self.update_row(is_leading).await {
            Err(error) => {
                self.must_read = true;
                self.status.record_failure(clock::now(), &error);
            }
            Ok(()) => self.status.record_success(clock::now()),
        }
        let now = clock::now();
        let is_leading = lock(&self.leadership).fence(now).is_some();
        let interval = match () {
            () if self.status.is_failing() && self.shared.is_peer_answering(now) => PEER_INTERVAL,
            () if self.must_read || !is_leading && self.is_searching() => SEARCH_INTERVAL,
            () => RENEWAL_INTERVAL,
        };
        interval.saturating_sub(now.saturating_sub(started_at))
    }

    /// Whether this instance looks for a leader often: at first, and as long as it may lead itself soon.
    fn is_searching(&self) -> bool {
        self.round_count <= SEARCH_ROUNDS || self.shared.role() == TreeRole::StandIn
    }

    /// Whether this instance is leaving and still has the lead to give up.
    fn must_release(&self) -> bool {
        self.router.is_leaving() && lock(&self.leadership).has_lead()
    }

    async fn update_row(&mut self, is_leading: bool) -> Result<(), Error> {
        if self.router.is_leaving() {
            let released = lock(&self.leadership).release();
            if let Some((row, expected_version)) = released {
                self.table.write(row, expected_version).await?;
            }
            return Ok(());
        }
        let is_due = self.round_count.is_multiple_of(LEADER_READ_ROUNDS);
        if !is_leading || self.must_read || is_due {
            self.read().await?;
        }
        self.write().await
    }

    async fn read(&mut self) -> Result<(), Error> {
        let view = self.table.read().await?;
        let now = clock::now();
        self.must_read = false;
        let tree = view.row.as_ref().and_then(|(row, _)| row.tree.clone());
        if let Some(tree) = tree {
            self.shared.set_tree(tree, self.row.relay_address);
        }
        lock(&self.leadership).observe(now, view.row, view.age);
        Ok(())
    }

    async fn write(&mut self) -> Result<(), Error> {
        let now = clock::now();
        let step = lock(&self.leadership).step(now);
        let LeaseStep::Write {
            expected_version,
            fence,
        } = step
        else {
            return Ok(());
        };
        let holder = self.row.start.clone();
        let tree = self.shared.build_tree(now, fence, &self.row);
        let row = LeaderRow {
            fence,
            holder,
            tree: Some(tree.clone()),
        };
        match self.table.write(row.clone(), expected_version).await? {
            None => {
                self.must_read = true;
                lock(&self.leadership).record_conflict();
            }
            Some(version) => {
                lock(&self.leadership).record_write(now, row, version);
                self.shared.set_tree(tree, self.row.relay_address);
            }
        }
        Ok(())
    }

    /// Takes over the instances that this one knows to live.
    fn publish_membership(&self, now: Duration) {
        let live = self.shared.with_membership(|members| members.live(now));
        self.shared.set_instances_built_at(None);
        publish_instances(
            &self.router,
            with_own_instance(live, &self.router, &self.row),
        );
    }
}

/// This instance knows of itself whether it takes requests.
fn with_own_instance(mut live: Vec<Instance>, router: &Router, row: &InstanceRow) -> Vec<Instance> {
    live.retain(|instance| instance.id != row.id);
    if router.is_ready() {
        live.push(row.instance());
        live.sort_by(|one, other| one.id.cmp(&other.id));
    }
    live
}

/// Takes over the instances that callers may use.
pub(crate) fn publish_instances(router: &Router, live: Vec<Instance>) {
    let known = router.instances();
    if known == live {
        return;
    }
    let before: HashSet<&str> = known.iter().map(|instance| &*instance.id).collect();
    let after: HashSet<&str> = live.iter().map(|instance| &*instance.id).collect();
    let joined_ids = |ids: &mut dyn Iterator<Item = &&str>| {
        let ids: Vec<&str> = ids.copied().take(MAX_LOGGED_COUNT).collect();
        ids.join(",")
    };
    tracing::info!(
        count = live.len(),
        came = joined_ids(&mut after.difference(&before)),
        gone = joined_ids(&mut before.difference(&after)),
        "instances changed"
    );
    router.set_instances(live);
}
