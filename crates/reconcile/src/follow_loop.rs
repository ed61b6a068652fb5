use super::*;

/// Longest wait of the asked instance for a change before it answers. A part of the age at which keys
/// are no longer accepted.
const WAIT: Duration = Duration::from_millis(400);
/// The same wait for those that others ask, which must know more than these.
const ASKED_WAIT: Duration = Duration::from_millis(200);
/// First pause while nobody with current knowledge answers; doubles up to `LAST_PAUSE` while others
/// answer with old knowledge.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause while nobody with current knowledge answers. Instances ask up to six others each.
const LAST_PAUSE: Duration = Duration::from_millis(1_200);
/// Time for which an instance that did not help is passed over, as long as another one does.
const AVOIDANCE: Duration = Duration::from_secs(3);
/// Time between reports of the instances that ask this one, as long as they are the same.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(800);
/// Redirections that are followed in one round. Two trees of one leader may follow each other.
const MOST_REDIRECTS: u32 = 2;
/// Name under which an instance keeps what it hears of all others.
const OTHERS: &str = "others";

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
        has_told_loads: false,
        leadership,
        members_told: (0, Duration::ZERO),
        relay,
        router,
        row,
        shared,
    };
    let mut followed: Option<SocketAddr> = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let wait = follower.wait(followed.is_some());
        let change_count = follower.shared.change_count();
        let found = follower.ask_each(wait).await;
        if found != followed {
            match found {
                None => tracing::info!("nobody to follow, reads the stores itself"),
                Some(source) => tracing::info!(%source, "follows another instance"),
            }
            followed = found;
        }
        if !follower.has_told_loads {
            follower.shared.upper_loads_lost();
        }
        if found.is_some() {
            pause = FIRST_PAUSE;
            continue;
        }
        follower.shared.relay_lost();
        // A new tree names others to ask.
        follower.shared.wait(change_count, pause).await;
        let is_served = follower.shared.is_served(clock::now());
        pause = if is_served {
            (pause * 2).min(LAST_PAUSE)
        } else {
            FIRST_PAUSE
        };
    }
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asked {
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
    has_told_loads: bool,
    leadership: Arc<Mutex<Leadership>>,
    /// Changes of the members when they were last told, and when that was.
    members_told: (u64, Duration),
    relay: Arc<dyn Relay>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl Follower {
    /// Longest wait of the asked instance for a change.
    fn wait(&self, is_following: bool) -> Duration {
        match (is_following, self.shared.place()) {
            (false, _) => Duration::ZERO,
            (true, TreePlace::Follower) => WAIT,
            (true, _) => ASKED_WAIT,
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
    async fn ask_each(&mut self, wait: Duration) -> Option<SocketAddr> {
        let now = clock::now();
        self.avoided.retain(|_, until| now < *until);
        let mut candidates = VecDeque::from(self.candidates());
        let mut redirect_count = 0;
        // Loads are told to the first one that answers, and its answer tells those of the others.
        self.has_told_loads = false;
        while let Some(address) = candidates.pop_front() {
            match self.ask(address, wait).await {
                Asked::Current => return Some(address),
                Asked::Redirected if redirect_count < MOST_REDIRECTS => {
                    redirect_count += 1;
                    candidates = VecDeque::from(self.candidates());
                }
                Asked::Redirected | Asked::Unhelpful => {
                    self.avoided.insert(address, clock::now() + AVOIDANCE);
                }
            }
        }
        None
    }

    async fn ask(&mut self, address: SocketAddr, wait: Duration) -> Asked {
        let query = self.query(address, wait);
        let revision = query.revision;
        let asked_at = clock::now();
        match self.relay.ask(address, query).await {
            Err(error) => {
                tracing::debug!(source = %address, %error, "not answered");
                // What was told in the question may not have arrived.
                self.members_told = (0, Duration::ZERO);
                Asked::Unhelpful
            }
            Ok(RelayReply::Redirect(tree)) => {
                self.shared.set_tree(tree, self.row.relay_address);
                Asked::Redirected
            }
            Ok(RelayReply::Answer(answer)) => {
                let is_current = self.take(address, asked_at, revision, *answer);
                match is_current && self.shared.is_relayed(clock::now()) {
                    false => Asked::Unhelpful,
                    true => Asked::Current,
                }
            }
        }
    }

    fn query(&mut self, address: SocketAddr, wait: Duration) -> Query {
        let now = clock::now();
        let loads = (!self.has_told_loads).then(|| {
            let own_loads = self.router.fleet().own_loads();
            self.shared.lower_loads(now, &self.row, &own_loads)
        });
        let members = self.members(now);
        Query {
            avoided: self.avoided.keys().copied().collect(),
            catalog_version: self.router.catalog().version(),
            crashes: self.router.suspects().reports_for(now, &OTHERS.into()),
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
        let (told_count, told_at) = self.members_told;
        let is_recent = now.saturating_sub(told_at) < MEMBERS_INTERVAL;
        self.shared.with_membership(|membership| {
            if is_recent && membership.change_count() == told_count {
                return Vec::new();
            }
            self.members_told = (membership.change_count(), now);
            membership.reports(now)
        })
    }

    /// Takes an answer over. Returns whether it was enough not to read the stores.
    fn take(
        &mut self,
        source: SocketAddr,
        asked_at: Duration,
        revision: u64,
        answer: Answer,
    ) -> bool {
        let (router, shared) = (&self.router, &self.shared);
        // The question arrived after it was sent, so that this is at or before the time of the answer.
        let answered_at = asked_at + answer.waited;
        let confirmed_at = answered_at.saturating_sub(answer.catalog_age);
        let read = CatalogRead {
            catalog: answer.catalog.map(|parts| Arc::new(Catalog::new(parts))),
            is_current: true,
            sent_at: confirmed_at,
        };
        catalog_loop::take(router, shared, read, "relayed");
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
        if let Some((before, listing)) = shared.take_relayed(relayed) {
            target_loop::publish(router, &before, &listing);
        }
        if router.note_departures(&answer.departures) {
            shared.wake();
        }
        let formed_at = answered_at.saturating_sub(answer.instances_age);
        self.take_instances(answer.instances, formed_at);
        if let Some(tree) = answer.tree {
            shared.set_tree(tree, self.row.relay_address);
        }
        let now = clock::now();
        let others = Arc::from(OTHERS);
        let mut suspects = router.suspects();
        suspects.merge_reports(now, &others, &answer.crashes);
        drop(suspects);
        if !std::mem::replace(&mut self.has_told_loads, true) {
            let others = shared.set_upper_loads(now, answer.other_loads);
            router.set_other_loads(&others);
        }
        is_current
    }

    /// Takes over the instances that callers may use, if they are others than before.
    fn take_instances(&self, instances: Option<Vec<Instance>>, formed_at: Duration) {
        if let Some(instances) = instances {
            leadership_loop::take(&self.router, instances);
        }
        self.shared.set_instances_at(Some(formed_at));
        let instances = self.router.instances();
        self.shared
            .with_membership(|membership| membership.inherit(instances, formed_at));
    }
}
