use super::*;

/// Longest wait of the asked instance for a change before it answers. A part of the age at which keys
/// are no longer accepted.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// The same wait for those that others ask, which must know more than these.
const MAX_UPSTREAM_WAIT: Duration = Duration::from_millis(200);
/// First pause while nobody with current knowledge answers; doubles up to `LAST_PAUSE` while others
/// answer with old knowledge.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest pause while nobody with current knowledge answers. Instances ask up to six others each.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Time for which an instance that did not help is passed over, as long as another one does.
const AVOID_DURATION: Duration = Duration::from_secs(3);
/// Time between reports of the instances that ask this one, as long as they are the same.
const MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Redirections that are followed in one round. Two trees of one leader may follow each other.
const MAX_REDIRECTS: u32 = 2;
/// Name under which an instance keeps what it hears of all others.
const ALL_OTHERS: &str = "others";

/// Keeps this instance current with what the leader knows, while another instance leads. Those that
/// stand in for the leader are asked when it does not answer or its knowledge is old.
pub async fn follow_leader(
    router: Arc<Router>,
    relay: Arc<dyn Relay>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut follower = Follower {
        avoided: HashMap::new(),
        has_sent_loads: false,
        leadership,
        members_reported: (0, Duration::ZERO),
        relay,
        router,
        row,
        shared,
    };
    let mut followed_source: Option<SocketAddr> = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let wait = follower.max_wait(followed_source.is_some());
        let change_count = follower.shared.change_count();
        let source = follower.query_sources(wait).await;
        if source != followed_source {
            match source {
                None => tracing::info!("nobody to follow, reads the stores itself"),
                Some(source) => tracing::info!(%source, "follows another instance"),
            }
            followed_source = source;
        }
        if !follower.has_sent_loads {
            follower.shared.clear_upstream_loads();
        }
        if source.is_some() {
            backoff = MIN_BACKOFF;
            continue;
        }
        follower.shared.discard_relayed_state();
        // A new tree names others to ask.
        follower.shared.wait_for_change(change_count, backoff).await;
        let is_peer_answering = follower.shared.is_peer_answering(clock::now());
        backoff = if is_peer_answering {
            (backoff * 2).min(MAX_BACKOFF)
        } else {
            MIN_BACKOFF
        };
    }
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueryOutcome {
    /// This instance is current.
    Current,
    /// Others are to be asked.
    Redirected,
    /// Nothing, or what was known long ago.
    Unhelpful,
}

struct Follower {
    /// Instances that did not help, and until when they are passed over.
    avoided: HashMap<SocketAddr, Duration>,
    /// Whether loads were told in this round.
    has_sent_loads: bool,
    leadership: Arc<Mutex<Leadership>>,
    /// Changes of the members when they were last told, and when that was.
    members_reported: (u64, Duration),
    relay: Arc<dyn Relay>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl Follower {
    /// Longest wait of the asked instance for a change.
    fn max_wait(&self, is_following: bool) -> Duration {
        match (is_following, self.shared.role()) {
            (false, _) => Duration::ZERO,
            (true, TreeRole::Follower) => MAX_WAIT,
            (true, _) => MAX_UPSTREAM_WAIT,
        }
    }

    /// Addresses to ask, those last that did not help lately. An instance that leads asks nobody.
    fn candidates(&self) -> Vec<SocketAddr> {
        if lock(&self.leadership).fence(clock::now()).is_some() {
            return Vec::new();
        }
        let tree = self.shared.tree();
        let sources = tree.map(|tree| tree.sources(&self.row));
        let sources = sources.unwrap_or_default().into_iter();
        let (last, mut first): (Vec<SocketAddr>, Vec<SocketAddr>) =
            sources.partition(|source| self.avoided.contains_key(source));
        first.extend(last);
        first
    }

    /// Asks one after another until one has current knowledge. Returns its address.
    async fn query_sources(&mut self, wait: Duration) -> Option<SocketAddr> {
        let now = clock::now();
        self.avoided.retain(|_, until| now < *until);
        let mut candidates = VecDeque::from(self.candidates());
        let mut redirect_count = 0;
        // Loads are told to the first one that answers, and its answer tells those of the others.
        self.has_sent_loads = false;
        while let Some(address) = candidates.pop_front() {
            match self.query_source(address, wait).await {
                QueryOutcome::Current => return Some(address),
                QueryOutcome::Redirected if redirect_count < MAX_REDIRECTS => {
                    redirect_count += 1;
                    candidates = VecDeque::from(self.candidates());
                }
                QueryOutcome::Redirected | QueryOutcome::Unhelpful => {
                    self.avoided.insert(address, clock::now() + AVOID_DURATION);
                }
            }
        }
        None
    }

    async fn query_source(&mut self, address: SocketAddr, wait: Duration) -> QueryOutcome {
        let query = self.build_query(address, wait);
        let revision = query.revision;
        let queried_at = clock::now();
        match self.relay.ask(address, query).await {
            Err(error) => {
                tracing::debug!(source = %address, %error, "not answered");
                // What was told in the question may not have arrived.
                self.members_reported = (0, Duration::ZERO);
                QueryOutcome::Unhelpful
            }
            Ok(RelayReply::Redirect(tree)) => {
                self.shared.set_tree(tree, self.row.relay_address);
                QueryOutcome::Redirected
            }
            Ok(RelayReply::Answer(answer)) => {
                let is_current = self.apply_answer(address, queried_at, revision, *answer);
                match is_current && self.shared.uses_relayed_state(clock::now()) {
                    false => QueryOutcome::Unhelpful,
                    true => QueryOutcome::Current,
                }
            }
        }
    }

    fn build_query(&mut self, address: SocketAddr, wait: Duration) -> Query {
        let now = clock::now();
        let loads = (!self.has_sent_loads).then(|| {
            let own_loads = self.router.fleet().own_loads();
            self.shared.loads_for_upstream(now, &self.row, &own_loads)
        });
        let members = self.members(now);
        Query {
            avoided: self.avoided.keys().copied().collect(),
            catalog_version: self.router.catalog().version(),
            crashes: self.router.suspects().reports_for(now, &ALL_OTHERS.into()),
            departures: self.router.fleet().unlisted_departures(),
            instances_digest: digest(&self.router.instances()),
            is_leaving: self.router.is_leaving(),
            loads,
            members,
            revision: self.shared.revision_of(address),
            row: self.row.clone(),
            tree_version: self.shared.tree_version(),
            wait,
        }
    }

    /// Instances that ask this one, when they have changed or were not told for a while.
    fn members(&mut self, now: Duration) -> Vec<MemberReport> {
        let (reported_change_count, reported_at) = self.members_reported;
        let is_recent = now.saturating_sub(reported_at) < MEMBER_REPORT_INTERVAL;
        self.shared.with_membership(|membership| {
            if is_recent && membership.change_count() == reported_change_count {
                return Vec::new();
            }
            self.members_reported = (membership.change_count(), now);
            membership.reports(now)
        })
    }

    /// Takes an answer over. Returns whether it was enough not to read the stores.
    fn apply_answer(
        &mut self,
        source: SocketAddr,
        queried_at: Duration,
        revision: u64,
        answer: Answer,
    ) -> bool {
        let (router, shared) = (&self.router, &self.shared);
        // The question arrived after it was sent, so that this is at or before the time of the answer.
        let answered_at = queried_at + answer.waited;
        let confirmed_at = answered_at.saturating_sub(answer.catalog_age);
        let read = CatalogRead {
            catalog: answer.catalog.map(|parts| Arc::new(Catalog::new(parts))),
            is_current: true,
            sent_at: confirmed_at,
        };
        catalog_loop::apply_read(router, shared, read, "relayed");
        let read_at = answered_at.saturating_sub(answer.targets_age);
        let relayed = RelayedTargets {
            asked_revision: revision,
            change: answer.targets,
            confirmed_at,
            distance: answer.distance,
            read_at,
            revision: answer.revision,
            source,
        };
        let is_current = shared.is_current(clock::now(), &relayed);
        if let Some((before, listing)) = shared.apply_relayed(relayed) {
            target_loop::publish(router, &before, &listing);
        }
        if router.note_departures(&answer.departures) {
            shared.notify_changed();
        }
        let formed_at = answered_at.saturating_sub(answer.instances_age);
        self.apply_instances(answer.instances, formed_at);
        if let Some(tree) = answer.tree {
            shared.set_tree(tree, self.row.relay_address);
        }
        let now = clock::now();
        let others = Arc::from(ALL_OTHERS);
        let mut suspects = router.suspects();
        suspects.merge_reports(now, &others, &answer.crashes);
        drop(suspects);
        if !std::mem::replace(&mut self.has_sent_loads, true) {
            let others = shared.set_upstream_loads(now, answer.other_loads);
            router.set_other_loads(&others);
        }
        is_current
    }

    /// Takes over the instances that callers may use, if they are others than before.
    fn apply_instances(&self, instances: Option<Vec<Instance>>, formed_at: Duration) {
        if let Some(instances) = instances {
            leadership_loop::publish_instances(&self.router, instances);
        }
        self.shared.set_instances_built_at(Some(formed_at));
        let instances = self.router.instances();
        self.shared
            .with_membership(|membership| membership.set_received_list(instances, formed_at));
    }
}
