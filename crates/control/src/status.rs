use super::*;

/// Time without confirmation by the store after which only a majority of instances lets an instance
/// admit work.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(4);

/// What a node believes of itself, its peers and its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Version of the lists that this instance uses.
    pub config_version: ConfigVersion,
    /// Instances of those in `instance_count` that use `config_version` or a later one; none before
    /// the platform's list was read.
    pub in_force_count: Option<u32>,
    /// Instances that may admit work, this one included: those in the platform's last list and those
    /// heard from in the last minute, except those that are leaving; none before the platform's list
    /// was read.
    pub instance_count: Option<u32>,
    /// Entry instances, this one first.
    pub instances: Vec<InstanceStatus>,
    /// Whether this instance admits new work.
    pub ready: bool,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

impl Node {
    /// Entry addresses for a caller: those in its failure domain first if given, then those near
    /// runners of `model` if given.
    pub fn addresses(
        &mut self,
        now: Duration,
        model: Option<&ModelId>,
        caller_domain: Option<&FailureDomain>,
    ) -> AddressAnswer {
        self.set_time(now);
        let random = &mut self.context.random;
        let (members, identity) = (&self.members, &self.identity);
        addresses(members, identity, random, model, caller_domain)
    }

    /// Changes after `version`, or none when they are no longer held.
    #[must_use]
    pub fn changes_since(&self, version: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        self.configs.changes_since(version)
    }

    /// Lists in force at this instance.
    #[must_use]
    pub fn lists(&self) -> &Arc<OperatorLists> {
        self.configs.lists()
    }

    /// What became of the call that was claimed with `nonce`.
    #[must_use]
    pub fn owner_status(&self, query: &CallQuery) -> OwnerStatus {
        self.records.owner_status(query)
    }

    /// What this node believes of itself, its peers and its targets.
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

    /// Instances that use the lists in force here or later ones, and all that may admit work. An
    /// instance that just started knows no peer, so nothing is known before the first listing.
    fn in_force(&self, now: Duration) -> Option<(u32, u32)> {
        if !self.members.has_listing() {
            return None;
        }
        let version = self.lists().version;
        let (mut in_force, mut total) = (1, 1);
        for peer in self.members.view(now) {
            total += 1;
            let is_known = peer.heard_at.is_some();
            in_force += u32::from(is_known && peer.config_version >= version);
        }
        // The version of a sender that no list has named yet is not kept.
        total += self.members.unlisted.len() as u32;
        Some((in_force, total))
    }

    /// Whether the lists in force are known to be current enough to admit work (section 6 of the
    /// design page).
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        let is_confirmed = self.configs.confirmed_age(now) <= MAX_UNCONFIRMED;
        self.configs.is_ready()
            && (is_confirmed || (self.hears_majority(now) && !self.is_behind_peers()))
    }

    /// Whether a peer has later lists. After a partition the majority is heard before its changes
    /// are fetched.
    fn is_behind_peers(&self) -> bool {
        let version = self.configs.lists().version;
        let mut present = self.members.peers().filter(|peer| peer.is_present());
        present.any(|peer| peer.config_version > version)
    }

    /// Whether this instance admits new work.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        !self.drain.is_started() && self.is_fresh(now)
    }

    /// Requests that could start now at the targets that this instance sees, less those that wait,
    /// divided by the instances that share them.
    pub(crate) fn spare_count(&self) -> u32 {
        let (requests, now) = (&self.requests, self.context.now);
        let factor = requests.limits.factor(now);
        let mut free = 0.0;
        for target in self.members.targets() {
            if target.takes_work() {
                let slots = f64::from(target.report.slot_count);
                free += (slots - requests.router.load_estimator.load(now, target, factor)).max(0.0);
            }
        }
        let waiting = requests.limits.waiting_count();
        ((free / factor) as u32).saturating_sub(waiting)
    }
}

/// One entry instance in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Address for callers.
    pub address: SocketAddr,
    /// Version of the lists that it reported last.
    pub config_version: ConfigVersion,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// Instance.
    pub id: InstanceId,
}

/// One target in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// Target.
    pub id: TargetId,
    /// Tokens or calls per second.
    pub rate_per_s: f64,
    /// Requests running.
    pub running_count: u32,
    /// Requests that can run at once.
    pub slot_count: u32,
    /// Requests waiting at the target.
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
