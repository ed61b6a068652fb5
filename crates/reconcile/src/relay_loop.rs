use super::*;

/// Longest wait of the leader for a change before it answers. A part of the age at which keys are no
/// longer accepted.
const WAIT: Duration = Duration::from_millis(400);
/// Pause while there is no leader to ask, or after a failed question.
const PAUSE: Duration = Duration::from_millis(300);
/// Questions without an answer after which this instance reads the stores itself.
const FAILURE_COUNT: u32 = 2;

/// Name under which a follower keeps what it hears of all other instances.
const OTHERS: &str = "others";

/// Answers the questions of other instances while this one leads.
pub struct RelayHandler {
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
    router: Arc<Router>,
}

impl RelayHandler {
    /// Creates the answering part of an instance.
    #[must_use]
    pub fn new(
        router: Arc<Router>,
        shared: Arc<SharedState>,
        leadership: Arc<Mutex<Leadership>>,
    ) -> Self {
        Self {
            shared,
            leadership,
            router,
        }
    }

    /// Answers a question, or none if this instance does not lead or knows nothing yet.
    pub async fn answer(&self, mut query: Query) -> Option<Answer> {
        let arrived_at = clock::now();
        self.note_member(&query);
        self.note_loads(&query.row.id, std::mem::take(&mut query.loads));
        let asking = query.row.id.clone();
        self.router
            .suspects()
            .take_reports(arrived_at, &asking, &query.crashes);
        if !self.is_leading() {
            return None;
        }
        let is_behind = {
            let holder = self.router.catalog();
            holder.catalog().map_or(0, |held| held.version()) > query.catalog_version
        };
        if !is_behind {
            self.shared.wait(query.revision, query.wait).await;
        }
        if !self.is_leading() {
            return None;
        }
        let now = clock::now();
        let (catalog, confirmed_at) = {
            let holder = self.router.catalog();
            (holder.catalog()?.clone(), holder.confirmed_at()?)
        };
        let targets_age = self.shared.targets_age(now)?;
        let revision = self.shared.revision();
        let is_newer = catalog.version() > query.catalog_version;
        let has_other = revision != query.revision;
        Some(Answer {
            catalog: is_newer.then(|| catalog.parts().clone()),
            catalog_age: now.saturating_sub(confirmed_at),
            crashes: self.router.suspects().reports_for(now, &asking),
            instances: self.router.instances(),
            other_loads: {
                let own = self.router.fleet().own_loads();
                self.shared.loads_without(now, &query.row.id, &own)
            },
            revision,
            targets: has_other.then(|| self.shared.targets()),
            targets_age,
            waited: now.saturating_sub(arrived_at),
        })
    }

    fn note_member(&self, query: &Query) {
        let now = clock::now();
        self.shared.with_membership(|membership| {
            if query.is_leaving {
                membership.left(&query.row.id);
            } else {
                membership.contacted(now, query.row.clone());
            }
        });
    }

    fn note_loads(&self, id: &Arc<str>, loads: Vec<SharedLoad>) {
        let now = clock::now();
        self.shared.set_loads(now, id, loads);
        let nobody = Arc::from("");
        let others = self.shared.loads_without(now, &nobody, &[]);
        self.router.fleet().set_other_loads(now, &others);
    }

    fn is_leading(&self) -> bool {
        lock(&self.leadership).fence(clock::now()).is_some()
    }
}

/// Keeps this instance current with what the leader knows, while another instance leads.
pub async fn follow_leader(
    router: Arc<Router>,
    relay: Arc<dyn Relay>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut source: Option<(SocketAddr, u64)> = None;
    let mut failure_count = 0;
    loop {
        let Some(address) = leader_address(&row, &shared, &leadership) else {
            shared.relay_lost();
            source = None;
            sleep(PAUSE).await;
            continue;
        };
        let known = source.filter(|(from, _)| *from == address);
        let asked_at = clock::now();
        let query = query(&router, &row, known.map_or(0, |(_, revision)| revision));
        match relay.ask(address, query).await {
            Ok(answer) => {
                if failure_count >= FAILURE_COUNT || source.is_none() {
                    tracing::info!(leader = %address, "follows the leader");
                }
                failure_count = 0;
                let revision = answer.revision;
                let is_taken = take(&router, &shared, asked_at, answer);
                // Without the list of this answer, the next one must contain it again.
                source = Some((address, if is_taken { revision } else { 0 }));
            }
            Err(error) => {
                failure_count += 1;
                if failure_count == FAILURE_COUNT {
                    tracing::info!(leader = %address, %error, "leader lost, reads the stores itself");
                    shared.relay_lost();
                }
                sleep(PAUSE).await;
            }
        }
    }
}

/// Address of the leader, if it is another instance.
fn leader_address(
    row: &InstanceRow,
    shared: &SharedState,
    leadership: &Mutex<Leadership>,
) -> Option<SocketAddr> {
    let leader = lock(leadership).leader()?.clone();
    if leader == row.start {
        return None;
    }
    shared.with_membership(|membership| membership.relay_address(&leader))
}

fn query(router: &Router, row: &InstanceRow, revision: u64) -> Query {
    let catalog_version = router.catalog().catalog().map_or(0, |held| held.version());
    Query {
        catalog_version,
        crashes: router.suspects().own_reports(clock::now()),
        is_leaving: router.is_leaving(),
        loads: router.fleet().own_loads(),
        revision,
        row: row.clone(),
        wait: WAIT,
    }
}

/// Takes over an answer. Returns whether its list of targets was taken or is the present one.
fn take(router: &Router, shared: &SharedState, asked_at: Duration, answer: Answer) -> bool {
    // The question arrived after it was sent, so that this is at or before the time of the answer.
    let answered_at = asked_at + answer.waited;
    let confirmed_at = answered_at.saturating_sub(answer.catalog_age);
    {
        let mut holder = router.catalog();
        let before = holder.catalog().map_or(0, |held| held.version());
        if let Some(parts) = answer.catalog {
            let version = parts.version;
            let is_taken = holder.offer(Arc::new(Catalog::new(parts)));
            let age_ms = answer.catalog_age.as_millis() as u64;
            tracing::info!(version, before, is_taken, age_ms, "configuration relayed");
        }
        if let Some(version) = holder.catalog().map(|held| held.version()) {
            holder.confirm(version, confirmed_at);
        }
    }
    let read_at = answered_at.saturating_sub(answer.targets_age);
    // This instance may have read the list itself since the leader did.
    let is_older = shared.is_newer_than(read_at);
    match answer.targets {
        _ if is_older => {}
        None => shared.confirm_targets(read_at),
        Some(targets) => target_loop::take(router, shared, read_at, &targets),
    }
    router
        .fleet()
        .set_other_loads(clock::now(), &answer.other_loads);
    router
        .suspects()
        .take_reports(clock::now(), &Arc::from(OTHERS), &answer.crashes);
    instance_loop::take(router, answer.instances);
    shared.relayed(confirmed_at.min(read_at));
    !is_older
}
