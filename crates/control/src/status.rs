use super::*;

/// Longest time since the store confirmed the operator lists for which an instance admits work
/// without hearing from a majority of instances.
const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(4);

/// State of an instance, its peers and its targets as the instance sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Version of the operator lists that this instance uses.
    pub config_version: ConfigVersion,
    /// Number of instances in `instance_count` that use `config_version` or a later version; none
    /// before the platform's list was read.
    pub in_force_count: Option<u32>,
    /// Number of instances that may admit work, this one included: those in the platform's last
    /// list and those that sent a heartbeat in the last minute, except leaving ones; none before
    /// the platform's list was read.
    pub instance_count: Option<u32>,
    /// Known instances, this one first.
    pub instances: Vec<InstanceStatus>,
    /// Whether this instance admits new work.
    pub ready: bool,
    /// Known engines and services.
    pub targets: Vec<TargetStatus>,
}

impl Node {
    /// Addresses of instances for a caller: first those in the caller's failure domain, if it is
    /// given, then those close to engines that hold `model`, if it is given.
    pub fn addresses(
        &mut self,
        now: Duration,
        model: Option<&ModelId>,
        caller_domain: Option<&FailureDomain>,
    ) -> AddressAnswer {
        self.set_time(now);
        let random = &mut self.context.random;
        let (members, identity) = (&self.members, &self.identity);
        entry_addresses(members, identity, random, model, caller_domain)
    }

    /// Changes of the operator lists after `version`; none if they are no longer in memory.
    #[must_use]
    pub fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        self.config.changes_since(version)
    }

    /// Operator lists that this instance uses.
    #[must_use]
    pub fn lists(&self) -> &Arc<OperatorLists> {
        self.config.lists()
    }

    /// Answer to a peer that asks what became of a call.
    #[must_use]
    pub fn owner_status(&self, query: &CallQuery) -> OwnerStatus {
        self.records.owner_status(query)
    }

    /// State of this instance, its peers and its targets as it sees them at `now`.
    #[must_use]
    pub fn status(&self, now: Duration) -> Status {
        let config_version = self.lists().version;
        let mut instances = vec![InstanceStatus {
            address: self.identity.address,
            config_version,
            failure_domain: self.identity.failure_domain.clone(),
            health: if self.drain.is_started() {
                TargetHealth::Leaving
            } else {
                TargetHealth::Live
            },
            id: self.identity.instance.clone(),
        }];
        for peer in self.members.peers() {
            instances.push(InstanceStatus {
                address: peer.address,
                config_version: peer.config_version,
                failure_domain: peer.failure_domain.clone(),
                health: peer.health,
                id: peer.id.clone(),
            });
        }
        let counts = self.in_force(now);
        Status {
            config_version,
            in_force_count: counts.map(|(in_force, _)| in_force),
            instance_count: counts.map(|(_, total)| total),
            instances,
            ready: self.is_ready(now),
            targets: self.members.targets().map(TargetStatus::of).collect(),
        }
    }

    /// Number of instances that use the operator lists of this instance or later ones, and number
    /// of all that may admit work. None before the platform's list was first read, as an instance
    /// that just started knows no peers.
    fn in_force(&self, now: Duration) -> Option<(u32, u32)> {
        if !self.members.has_listing() {
            return None;
        }
        let version = self.lists().version;
        let (mut in_force, mut total) = (1, 1);
        for peer in self.members.view(now) {
            total += 1;
            let is_known = peer.last_heartbeat_at.is_some();
            in_force += u32::from(is_known && peer.config_version >= version);
        }
        // Unlisted senders of heartbeats count in the total only, as their versions are not stored.
        total += self.members.unlisted.len() as u32;
        Some((in_force, total))
    }

    /// Whether the operator lists are current enough to admit work (section 6 of the design page):
    /// the store has confirmed them lately, or a majority of instances is heard and no peer has
    /// later ones.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        let is_confirmed = self.config.confirmed_age(now) <= MAX_CONFIRMED_AGE;
        self.config.is_ready()
            && (is_confirmed || (self.hears_majority(now) && !self.is_behind_peers()))
    }

    /// Whether a peer has later operator lists. After a partition the heartbeats of the majority
    /// arrive before its changes are fetched.
    fn is_behind_peers(&self) -> bool {
        let version = self.config.lists().version;
        let mut present = self.members.peers().filter(|peer| peer.is_present());
        present.any(|peer| peer.config_version > version)
    }

    /// Whether this instance admits new work.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.drain.is_started() && self.is_fresh(now)
    }

    /// Number of further requests that this instance can start now: its share of the free slots of
    /// all targets, minus its waiting requests.
    pub(crate) fn spare_count(&self) -> u32 {
        let (requests, now) = (&self.requests, self.context.now);
        let factor = requests.limits.sharing_factor(now);
        let mut free = 0.0;
        for target in self.members.targets() {
            if target.accepts_work() {
                let slots = f64::from(target.report.slot_count);
                free += (slots - requests.router.load_estimator.load(now, target, factor)).max(0.0);
            }
        }
        let waiting = requests.limits.waiting_count();
        ((free / factor) as u32).saturating_sub(waiting)
    }
}

/// State of one instance in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Address at which the instance accepts requests of callers.
    pub address: SocketAddr,
    /// Version of the operator lists that the instance reported last.
    pub config_version: ConfigVersion,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// Health of the instance as this instance sees it.
    pub health: TargetHealth,
    /// Id of the instance.
    pub id: InstanceId,
}

/// State of one target in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub failure_domain: FailureDomain,
    /// Health of the target as this instance sees it.
    pub health: TargetHealth,
    /// Id of the target.
    pub id: TargetId,
    /// Rate that the target reports: tokens per second of an engine, calls per second of a service.
    pub rate_per_s: f64,
    /// Number of requests that run at the target, as it reports.
    pub running_count: u32,
    /// Number of requests that the target can run at once.
    pub slot_count: u32,
    /// Number of requests that wait at the target, as it reports.
    pub waiting_count: u32,
}

impl TargetStatus {
    fn of(target: &Target) -> Self {
        Self {
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            health: target.health,
            id: target.id.clone(),
            rate_per_s: target.report.rate_per_s,
            running_count: target.report.running_count,
            slot_count: target.report.slot_count,
            waiting_count: target.report.waiting_count,
        }
    }
}
