use super::*;

/// Time between sums of the loads of others for the choice of targets here.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// Answers the questions of other instances with what this one knows.
///
/// Each answer tells the age of what it holds, so that an instance that has lost the stores misleads
/// nobody.
pub struct RelayHandler {
    leadership: Arc<Mutex<Leadership>>,
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
}

impl RelayHandler {
    /// Creates the answering part of an instance.
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

    /// Answers a question, or none if this instance knows nothing yet or is leaving.
    pub async fn answer(&self, mut query: Query) -> Option<Answer> {
        let arrived_at = clock::now();
        self.note_member(&query);
        self.note_loads(&query.row.id, std::mem::take(&mut query.loads));
        let asking = query.row.id.clone();
        self.router
            .suspects()
            .take_reports(arrived_at, &asking, &query.crashes);
        if self.router.is_leaving() {
            return None;
        }
        let change_count = self.shared.change_count();
        let is_behind = self.router.catalog().version() > query.catalog_version;
        if !is_behind && self.shared.revision() == query.revision {
            self.shared.wait(change_count, query.wait).await;
        }
        let now = clock::now();
        let (catalog, confirmed_at) = {
            let holder = self.router.catalog();
            (holder.catalog()?.clone(), holder.confirmed_at()?)
        };
        let targets_age = self.shared.targets_age(now)?;
        let instances = self.router.instances();
        let (revision, targets) = self.shared.targets_since(query.revision);
        let own_loads = self.router.fleet().own_loads();
        Some(Answer {
            catalog: (catalog.version() > query.catalog_version).then(|| catalog.parts().clone()),
            catalog_age: now.saturating_sub(confirmed_at),
            crashes: self.router.suspects().reports_for(now, &asking),
            distance: self.shared.distance(now),
            instances: (digest(&instances) != query.instances_digest).then_some(instances),
            other_loads: self.shared.loads_without(&asking, &own_loads),
            revision,
            sources: self.sources(now),
            targets,
            targets_age,
            waited: now.saturating_sub(arrived_at),
        })
    }

    /// Where to ask: here and at stand-ins of its choice if this instance leads.
    fn sources(&self, now: Duration) -> Vec<SocketAddr> {
        if lock(&self.leadership).fence(now).is_none() {
            return self.shared.sources();
        }
        let stand_ins = self
            .shared
            .with_membership(|membership| membership.stand_ins(now, &self.row));
        let sources: Vec<SocketAddr> = std::iter::once(self.row.relay_address)
            .chain(stand_ins)
            .collect();
        self.shared
            .set_sources(sources.clone(), self.row.relay_address);
        sources
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
        let Some(others) = self.shared.set_loads(now, id, loads, LOAD_INTERVAL) else {
            return;
        };
        self.router.set_other_loads(&others);
    }
}
