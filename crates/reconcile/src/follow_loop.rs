use super::*;

/// Longest time that the queried instance waits for a change before it answers. It must be a
/// fraction of the age beyond which API keys are no longer accepted.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// The same limit when the querying instance answers queries itself: its state must be newer than
/// that of its children.
const MAX_WAIT_WITH_CHILDREN: Duration = Duration::from_millis(200);
/// Delay after a round in which no instance returned current state. It doubles up to `MAX_BACKOFF`
/// as long as other instances answer with outdated state.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest delay between rounds in which no instance returns current state. Each instance queries
/// up to six others per round.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Time for which an instance that returned no current state is queried only after all others.
const AVOID_DURATION: Duration = Duration::from_secs(3);
/// Longest time between reports of descendants while their membership does not change.
const MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Redirects followed in one round. Two consecutive trees of the same leader can cause two
/// redirects.
const MAX_REDIRECTS: u32 = 2;
/// Reporter id under which the crash reports relayed from all other instances are stored.
const ALL_OTHERS: &str = "others";

/// Keeps this instance up to date with the state of the leader while another instance leads.
/// Queries the stand-ins when the leader does not answer or its state is outdated.
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
                None => tracing::info!("no instance to follow, reading the stores"),
                Some(source) => tracing::info!(%source, "following another instance"),
            }
            followed_source = source;
        }
        if !follower.has_sent_loads {
            follower.shared.clear_parent_loads();
        }
        if source.is_some() {
            backoff = MIN_BACKOFF;
            continue;
        }
        follower.shared.discard_relayed_state();
        // A new tree may name other instances to query.
        follower.shared.wait_for_change(change_count, backoff).await;
        let is_peer_answering = follower.shared.is_peer_answering(clock::now());
        backoff = if is_peer_answering {
            (backoff * 2).min(MAX_BACKOFF)
        } else {
            MIN_BACKOFF
        };
    }
}

/// Result of querying one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueryOutcome {
    /// The answer made this instance current.
    Current,
    /// The queried instance sent a tree that names other instances to query.
    Redirected,
    /// No answer, or one with outdated state.
    NotCurrent,
}

/// State of this instance that a query named.
#[derive(Clone, Debug)]
struct QueryBase {
    catalog_version: u64,
    instances: Vec<Instance>,
    revision: u64,
}

struct Follower {
    /// Instances that returned no current state, with the time until which they are queried last.
    avoided: HashMap<SocketAddr, Duration>,
    /// Whether loads were sent to an instance that answered in this round.
    has_sent_loads: bool,
    leadership: Arc<Mutex<Leadership>>,
    /// Change count of the membership when it was last reported, and the time of that report.
    members_reported: (u64, Duration),
    relay: Arc<dyn Relay>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl Follower {
    /// Longest time that the queried instance may wait for a change.
    fn max_wait(&self, is_following: bool) -> Duration {
        match (is_following, self.shared.role()) {
            (false, _) => Duration::ZERO,
            (true, TreeRole::Follower) => MAX_WAIT,
            (true, _) => MAX_WAIT_WITH_CHILDREN,
        }
    }

    /// Addresses to query, with the avoided ones last. Empty while this instance leads.
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

    /// Queries the candidates one after another until one returns current state. Returns its
    /// address.
    async fn query_sources(&mut self, wait: Duration) -> Option<SocketAddr> {
        let now = clock::now();
        self.avoided.retain(|_, until| now < *until);
        let mut candidates = VecDeque::from(self.candidates());
        let mut redirect_count = 0;
        // Only the first instance that answers receives loads, and its answer holds those of the
        // others.
        self.has_sent_loads = false;
        while let Some(address) = candidates.pop_front() {
            match self.query_source(address, wait).await {
                QueryOutcome::Current => return Some(address),
                QueryOutcome::Redirected if redirect_count < MAX_REDIRECTS => {
                    redirect_count += 1;
                    candidates = VecDeque::from(self.candidates());
                }
                QueryOutcome::Redirected | QueryOutcome::NotCurrent => {
                    self.avoided.insert(address, clock::now() + AVOID_DURATION);
                }
            }
        }
        None
    }

    async fn query_source(&mut self, address: SocketAddr, wait: Duration) -> QueryOutcome {
        let instances = self.router.instances();
        let query = self.build_query(address, wait, digest(&instances));
        let base = QueryBase {
            catalog_version: query.catalog_version,
            instances,
            revision: query.revision,
        };
        let queried_at = clock::now();
        let reply = self.relay.ask(address, query).await;
        if reply.is_ok() {
            self.shared.record_contact(clock::now());
        }
        match reply {
            Err(error) => {
                tracing::debug!(source = %address, %error, "query not answered");
                // The member report in the query may not have arrived.
                self.members_reported = (0, Duration::ZERO);
                QueryOutcome::NotCurrent
            }
            Ok(RelayReply::Redirect(tree)) => {
                self.shared.set_tree(tree, self.row.relay_address);
                QueryOutcome::Redirected
            }
            Ok(RelayReply::Answer(answer)) => {
                self.apply_answer(address, queried_at, base, *answer, None)
            }
            Ok(RelayReply::DatedAnswer(answer, signs)) => {
                self.apply_answer(address, queried_at, base, *answer, Some(signs))
            }
        }
    }

    fn build_query(&mut self, address: SocketAddr, wait: Duration, instances_digest: u64) -> Query {
        let now = clock::now();
        let loads = (!self.has_sent_loads).then(|| {
            let own_loads = self.router.fleet().own_loads();
            self.shared.loads_for_parent(now, &self.row, &own_loads)
        });
        let members = self.members(now);
        // A guard in a field of the literal would be held until the query is complete.
        let catalog_version = self.router.catalog().version();
        let crashes = self.router.suspects().reports_for(now, &ALL_OTHERS.into());
        let departures = self.router.fleet().unlisted_departures();
        let mut query = Query {
            avoided: self.avoided.keys().copied().collect(),
            catalog_version,
            crashes,
            departures,
            instances_digest,
            is_leaving: self.router.is_leaving(),
            loads,
            members,
            revision: self.shared.revision_of(address),
            row: self.row.clone(),
            tree_version: self.shared.tree_version(),
            wait,
        };
        query.accept_dated_answers();
        query
    }

    /// Reports of descendants, if they have changed or the last report is too old.
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

    /// Applies an answer. It is current if the stores need not be read.
    fn apply_answer(
        &mut self,
        source: SocketAddr,
        queried_at: Duration,
        base: QueryBase,
        answer: Answer,
        signs: Option<InstanceSigns>,
    ) -> QueryOutcome {
        let (router, shared) = (&self.router, &self.shared);
        // The query arrived after it was sent, so this is not later than the time of the answer.
        let answered_at = queried_at + answer.waited;
        let confirmed_at = answered_at.saturating_sub(answer.catalog_age);
        let catalog = answer.catalog.map(|parts| Arc::new(Catalog::new(parts)));
        // An instance with an older version says that it confirmed none.
        let version = catalog
            .as_ref()
            .map_or(base.catalog_version, |one| one.version());
        let read = CatalogRead {
            catalog,
            era: shared.with_store_trust(|trust| trust.settled_era()),
            is_current: true,
            sent_at: confirmed_at,
            version,
        };
        catalog_loop::apply_read(router, shared, read, "relayed");
        let read_at = answered_at.saturating_sub(answer.targets_age);
        let relayed = RelayedTargets {
            base_revision: base.revision,
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
        if router.merge_departures(&answer.departures) {
            shared.notify_changed();
        }
        shared.set_instances_source(source);
        self.apply_instances(ReceivedInstances {
            age: answer.instances_age,
            answered_at,
            instances: answer.instances.unwrap_or(base.instances),
            signs,
        });
        if let Some(tree) = answer.tree {
            shared.set_tree(tree, self.row.relay_address);
        }
        self.apply_reports(&answer.crashes, answer.other_loads);
        match is_current && self.shared.uses_relayed_state(clock::now()) {
            false => QueryOutcome::NotCurrent,
            true => QueryOutcome::Current,
        }
    }

    /// Merges the list of instances of an answer, and publishes the instances that are live now.
    fn apply_instances(&self, list: ReceivedInstances) {
        let (router, shared) = (&self.router, &self.shared);
        shared.with_membership(|membership| membership.merge_received(&self.row.id, list));
        instance_loop::publish_instances(router, shared, &self.row, clock::now());
        router.confirm_instances();
    }

    /// Applies the crashes and, in the first answer of a round, the loads that other instances reported.
    fn apply_reports(&mut self, crashes: &[CrashReport], other_loads: Vec<SharedLoad>) {
        let now = clock::now();
        let others = Arc::from(ALL_OTHERS);
        self.router.suspects().merge_reports(now, &others, crashes);
        if !std::mem::replace(&mut self.has_sent_loads, true) {
            let others = self.shared.set_parent_loads(now, other_loads);
            self.router.set_peer_loads(&others);
        }
    }
}
