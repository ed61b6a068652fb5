use super::*;

/// Time between renewals of the leader's row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between reads of the row while this instance has no leader to follow.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of rounds with `SEARCH_INTERVAL`; later rounds use `RENEWAL_INTERVAL`.
const SEARCH_ROUNDS: u32 = 8;
/// Time between reads while the table is unavailable but other instances answer queries.
const PEER_INTERVAL: Duration = Duration::from_millis(3_000);
/// Time between checks whether the leader is still being followed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds of the leader between reads of the row.
const LEADER_READ_ROUNDS: u32 = 5;

/// Runs the leader election for this instance: finds the leader when it follows none, takes a free
/// leadership, and renews it.
pub async fn run_leadership(
    router: Arc<Router>,
    table: Box<dyn LeaderTable>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    // When many instances start at once, those with a shorter delay read first, and find or become
    // the leader.
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
    /// Whether the version of the row must be read again because it is uncertain.
    must_read: bool,
    /// Rounds since this instance last followed another one.
    round_count: u32,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    table: Box<dyn LeaderTable>,
}

impl LeadershipLoop {
    /// Runs one round. Returns the time until the next one.
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

    /// Whether this instance looks for a leader at the short interval: in the first rounds, and as
    /// long as it is a stand-in that may soon lead.
    fn is_searching(&self) -> bool {
        self.round_count <= SEARCH_ROUNDS || self.shared.role() == TreeRole::StandIn
    }

    /// Whether this instance is leaving and must still release the leadership.
    fn must_release(&self) -> bool {
        self.router.is_leaving() && lock(&self.leadership).holds_leadership()
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
        let settled = view.row.as_ref().map(|(row, _)| row.settled_era);
        let is_settled = settled.is_none_or(|settled| settled == view.era);
        self.shared
            .with_store_trust(|trust| trust.record_leader_row(now, is_settled));
        let tree = view.row.as_ref().and_then(|(row, _)| row.tree.clone());
        if let Some(tree) = tree {
            self.shared.set_tree(tree, self.row.relay_address);
        }
        let mut leadership = lock(&self.leadership);
        leadership.record_era(view.era);
        leadership.observe(now, view.row, view.age);
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
            settled_era: self.shared.with_store_trust(|trust| trust.settled_era()),
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
}
