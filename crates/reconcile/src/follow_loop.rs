use super::*;

/// Longest wait of the asked instance for a change before it answers. A part of the age at which keys
/// are no longer accepted.
const WAIT: Duration = Duration::from_millis(400);
/// The same wait for those that stand in for the leader, which must know of its loss first.
const STAND_IN_WAIT: Duration = Duration::from_millis(200);
/// First pause while nobody with current knowledge answers; doubles up to `LAST_PAUSE` while others
/// answer with old knowledge.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause while nobody with current knowledge answers. Instances ask up to six others each.
const LAST_PAUSE: Duration = Duration::from_millis(1_200);
/// Time for which an instance that did not help is passed over, as long as another one does.
const AVOIDANCE: Duration = Duration::from_secs(3);
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
    let follower = Follower {
        leadership,
        relay,
        router,
        row,
        shared,
    };
    let mut avoided: HashMap<SocketAddr, Duration> = HashMap::new();
    let mut followed: Option<SocketAddr> = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let wait = match followed {
            None => Duration::ZERO,
            Some(_) if follower.shared.is_stand_in() => STAND_IN_WAIT,
            Some(_) => WAIT,
        };
        let found = follower.ask_each(&mut avoided, wait).await;
        if found != followed {
            match found {
                None => tracing::info!("nobody to follow, reads the stores itself"),
                Some(source) => tracing::info!(%source, "follows another instance"),
            }
            followed = found;
        }
        if found.is_some() {
            pause = FIRST_PAUSE;
            continue;
        }
        follower.shared.relay_lost();
        sleep(pause).await;
        let is_served = follower.shared.is_served(clock::now());
        pause = if is_served {
            (pause * 2).min(LAST_PAUSE)
        } else {
            FIRST_PAUSE
        };
    }
}

struct Follower {
    leadership: Arc<Mutex<Leadership>>,
    relay: Arc<dyn Relay>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl Follower {
    /// Addresses to ask: the sources before this instance in the list of the leader, the leader that
    /// the table names. While no list of a leader is known, the first instances of the table are asked
    /// too, so that those that start together do not all read the stores. An instance that leads asks
    /// nobody.
    fn candidates(&self) -> Vec<SocketAddr> {
        let leader = lock(&self.leadership).leader().cloned();
        if leader.as_ref() == Some(&self.row.start) {
            return Vec::new();
        }
        let sources = self.shared.sources();
        let is_known = !sources.is_empty();
        let own = self.row.relay_address;
        let before = sources.into_iter().take_while(|source| *source != own);
        let mut candidates: Vec<SocketAddr> = before.collect();
        let listed = self.shared.with_membership(|membership| {
            let named = leader.and_then(|leader| membership.relay_address(&leader));
            let first = if is_known {
                Vec::new()
            } else {
                membership.first_before(clock::now(), &self.row)
            };
            named.into_iter().chain(first)
        });
        for address in listed {
            if address != own && !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    /// Asks one after another until one has current knowledge. Returns its address.
    async fn ask_each(
        &self,
        avoided: &mut HashMap<SocketAddr, Duration>,
        wait: Duration,
    ) -> Option<SocketAddr> {
        let candidates = self.candidates();
        let now = clock::now();
        avoided.retain(|_, until| now < *until);
        let (last, first): (Vec<SocketAddr>, Vec<SocketAddr>) = candidates
            .into_iter()
            .partition(|candidate| avoided.contains_key(candidate));
        for address in first.into_iter().chain(last) {
            if self.ask(address, wait).await {
                return Some(address);
            }
            avoided.insert(address, clock::now() + AVOIDANCE);
        }
        None
    }

    /// Asks one instance. Returns whether this one is current with its answer.
    async fn ask(&self, address: SocketAddr, wait: Duration) -> bool {
        let query = self.query(address, wait);
        let revision = query.revision;
        let asked_at = clock::now();
        match self.relay.ask(address, query).await {
            Err(error) => {
                tracing::debug!(source = %address, %error, "not answered");
                false
            }
            Ok(answer) => {
                self.take(address, asked_at, revision, answer);
                self.shared.is_relayed(clock::now())
            }
        }
    }

    fn query(&self, address: SocketAddr, wait: Duration) -> Query {
        Query {
            catalog_version: self.router.catalog().version(),
            crashes: self.router.suspects().own_reports(clock::now()),
            instances_digest: digest(&self.router.instances()),
            is_leaving: self.router.is_leaving(),
            loads: self.router.fleet().own_loads(),
            revision: self.shared.revision_of(address),
            row: self.row.clone(),
            wait,
        }
    }

    fn take(&self, source: SocketAddr, asked_at: Duration, revision: u64, answer: Answer) {
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
        if let Some((before, listing)) = shared.take_relayed(relayed) {
            target_loop::publish(router, &before, &listing);
        }
        let now = clock::now();
        router.set_other_loads(&answer.other_loads);
        let others = Arc::from(OTHERS);
        router
            .suspects()
            .take_reports(now, &others, &answer.crashes);
        if let Some(instances) = answer.instances {
            instance_loop::take(router, instances);
        }
        if !answer.sources.is_empty() {
            shared.set_sources(answer.sources, self.row.relay_address);
        }
    }
}
