use super::*;

/// Shortest time between sums of the other instances' loads, which this instance uses to choose
/// targets.
const LOAD_SUM_INTERVAL: Duration = Duration::from_millis(50);
/// Age of a confirmation that counts for nothing.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(3_600);

/// Answers the queries of other instances with the state of this one.
///
/// Each answer states the age of its contents, so an instance that has lost access to the stores
/// cannot pass off outdated state as current.
pub struct RelayHandler {
    leadership: Arc<Mutex<Leadership>>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl RelayHandler {
    /// Creates the handler of an instance. The other parts of the instance share `shared` and
    /// `leadership`.
    #[must_use]
    pub fn new(
        router: Arc<Router>,
        row: InstanceRow,
        shared: Arc<SharedState>,
        leadership: Arc<Mutex<Leadership>>,
    ) -> Self {
        Self {
            leadership,
            router,
            row,
            shared,
        }
    }

    /// Answers a query. Returns none if this instance has no state yet or is leaving.
    pub async fn answer(&self, mut query: Query) -> Option<RelayReply> {
        let received_at = clock::now();
        self.shared.record_contact(received_at);
        self.record_members(&mut query);
        self.record_loads(&query.row.id, query.loads.take());
        if self.router.merge_departures(&query.departures) {
            self.shared.notify_changed();
        }
        let requester = query.row.id.clone();
        self.router
            .suspects()
            .merge_reports(received_at, &requester, &query.crashes);
        if self.router.is_leaving() {
            return None;
        }
        self.refresh_tree(received_at);
        let tree = self.shared.tree();
        if let Some(tree) = tree.filter(|tree| self.is_redirected(tree, &query)) {
            return Some(RelayReply::Redirect(tree));
        }
        let change_count = self.shared.change_count();
        let is_behind = self.router.catalog().version() > query.catalog_version;
        if !is_behind && self.shared.revision() == query.revision {
            self.shared.wait_for_change(change_count, query.wait).await;
        }
        self.build_answer(&query, received_at)
    }

    /// Exchanges crash victims with another instance. Returns none if this instance is leaving.
    pub async fn exchange_phased_victims(
        &self,
        query: PhasedVictimQuery,
    ) -> Option<PhasedVictimAnswer> {
        let answer = victim_loop::answer_phased(&self.router, query).await;
        (!self.router.is_leaving()).then_some(answer)
    }

    /// Exchanges crash victims with an instance of an earlier version. Returns none if this instance is leaving.
    pub async fn exchange_victims(&self, query: VictimQuery) -> Option<VictimAnswer> {
        let answer = victim_loop::answer(&self.router, query).await;
        (!self.router.is_leaving()).then_some(answer)
    }

    /// Answers an instance that asks for a permit for a request to a target that limits its requests.
    #[must_use]
    pub fn take_permit(&self, query: &PermitQuery) -> PermitReply {
        self.router.answer_permit(query)
    }

    /// Builds an answer that contains only what is newer than the state of the requester.
    fn build_answer(&self, query: &Query, received_at: Duration) -> Option<RelayReply> {
        let now = clock::now();
        let requester = &query.row.id;
        let (catalog, confirmed_at) = {
            let latest = self.router.catalog();
            (latest.catalog()?.clone(), latest.confirmed_at()?)
        };
        let targets_age = self.shared.targets_age(now)?;
        let instances = self.router.instances();
        let signs = query
            .accepts_dated_answers()
            .then(|| self.instance_signs(now, &instances));
        let (revision, targets) = self.shared.targets_since(query.revision);
        let (own_loads, departures) = {
            let fleet = self.router.fleet();
            (fleet.own_loads(), fleet.unlisted_departures())
        };
        let tree = self.shared.tree();
        // The requester has a configuration that this instance has not read, so nothing here confirms it.
        let catalog_age = match catalog.version() < query.catalog_version {
            true => UNCONFIRMED_AGE,
            false => now.saturating_sub(confirmed_at),
        };
        let crashes = self.router.suspects().reports_for(now, requester);
        let answer = Box::new(Answer {
            catalog: (catalog.version() > query.catalog_version).then(|| catalog.parts().clone()),
            catalog_age,
            crashes,
            departures,
            distance: self.shared.distance(now),
            instances: (digest(&instances) != query.instances_digest).then_some(instances),
            instances_age: Duration::ZERO,
            other_loads: self.shared.loads_excluding(now, requester, &own_loads),
            revision,
            targets,
            targets_age,
            tree: tree.filter(|tree| tree.version > query.tree_version),
            waited: now.saturating_sub(received_at),
        });
        Some(match signs {
            None => RelayReply::Answer(answer),
            Some(signs) => RelayReply::DatedAnswer(answer, signs),
        })
    }

    /// Times of last activity of the listed instances, and recent departures.
    fn instance_signs(&self, now: Duration, instances: &[Instance]) -> InstanceSigns {
        self.shared.with_membership(|membership| {
            let ages = instances.iter().map(|instance| {
                if instance.id == self.row.id {
                    return SignAge::ZERO;
                }
                let silence = membership.silence(now, &instance.id);
                silence.map_or(SignAge::MAX, SignAge::from)
            });
            InstanceSigns {
                ages: ages.collect(),
                departures: membership.recent_departures(now),
            }
        })
    }

    /// Whether the requester must query its relays first. This limits the load on the leader and
    /// its stand-ins.
    fn is_redirected(&self, tree: &RelayTree, query: &Query) -> bool {
        let relays = tree.relays_for(&query.row);
        let is_avoided = |relay: &SocketAddr| query.avoided.contains(relay);
        !relays.contains(&self.row.relay_address) && !relays.iter().all(is_avoided)
    }

    /// Rebuilds the tree if this instance leads and has not done so recently.
    fn refresh_tree(&self, now: Duration) {
        let Some(fence) = lock(&self.leadership).fence(now) else {
            return;
        };
        self.shared.refresh_tree(now, fence, &self.row);
    }

    fn record_members(&self, query: &mut Query) {
        let sent_at = self.shared.earliest_sending(clock::now());
        let members = std::mem::take(&mut query.members);
        self.shared.with_membership(|membership| {
            if query.is_leaving {
                membership.record_departure(sent_at, &query.row);
            } else {
                membership.record_contact(sent_at, query.row.clone());
            }
            membership.apply_reports(sent_at, members);
        });
    }

    fn record_loads(&self, id: &Arc<str>, loads: Option<Vec<SharedLoad>>) {
        let now = clock::now();
        let loads = loads.unwrap_or_default();
        let Some(others) = self.shared.set_loads(now, id, loads, LOAD_SUM_INTERVAL) else {
            return;
        };
        self.router.set_peer_loads(&others);
    }
}
