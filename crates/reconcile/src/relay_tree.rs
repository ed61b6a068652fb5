use super::*;

/// Instances that stand in for the leader. With three of different failure domains, one is left when two
/// domains are lost.
const STAND_IN_COUNT: usize = 3;
/// Capacity that one asking instance takes: 2.5 questions a second of some tenths of a millisecond each
/// are a thousandth of a core, and requests of callers need most of the rest.
const CAPACITY_PER_INSTANCE: u32 = 9;
/// Least relays of a failure domain, so that one is left when another one is lost.
const MIN_RELAY_COUNT: usize = 2;

/// Longest age of what a relay uses: a read of the leader takes up to 0.6 s, and the relay's question waits
/// 0.2 s.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_300);
/// Longest age of what a stand-in uses.
const MAX_STAND_IN_AGE: Duration = Duration::from_millis(1_000);

/// Which instances others ask: the leader, those that stand in for it, and relays of each failure domain.
///
/// The leader and its stand-ins are asked by relays, and relays by all others of their failure domain,
/// so that answers pass two instances at most. While the leader can serve all, there are no relays.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayTree {
    /// Where the leader takes calls of others.
    pub leader: SocketAddr,
    /// Relays by failure domain, the ablest ones first; empty while the leader serves all.
    pub relays: BTreeMap<Arc<str>, Vec<SocketAddr>>,
    /// Instances that stand in for the leader, in the order in which they are asked.
    pub stand_ins: Vec<SocketAddr>,
    /// Version.
    pub version: TreeVersion,
}

/// Version of a tree: the fence of the leader that formed it, and its number of trees before.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TreeVersion {
    /// Fence of the leader.
    pub fence: u64,
    /// Trees that it has formed.
    pub number: u64,
}

/// Place of an instance in a tree.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TreeRole {
    /// Asks others and is asked by none.
    #[default]
    Follower,
    /// Leads.
    Leader,
    /// Asks the leader and is asked by others of its failure domain.
    Relay,
    /// Asks the leader, and serves the relays when the leader does not.
    StandIn,
}

impl TreeRole {
    /// Age up to which an instance uses what others know without reading the stores itself, where it may be
    /// used for `limit`. What is left covers a read. Those who are asked read earlier, so that they know
    /// more than those who ask them, and however long the limit is, a lost leader shows at them soon.
    pub(crate) fn max_age(self, limit: Duration) -> Duration {
        match self {
            Self::Follower => limit.mul_f64(0.65),
            Self::Relay => limit.mul_f64(0.58).min(MAX_RELAY_AGE),
            Self::Leader | Self::StandIn => limit.mul_f64(0.5).min(MAX_STAND_IN_AGE),
        }
    }
}

impl RelayTree {
    /// Forms the tree of a leader over the live instances, which include it or not.
    #[must_use]
    pub fn build(own: &InstanceRow, live: &[&InstanceRow], version: TreeVersion) -> Self {
        let mut by_capacity: Vec<&InstanceRow> = live.to_vec();
        by_capacity.retain(|row| row.id != own.id);
        by_capacity.sort_by(|one, other| {
            let capacity = other.capacity.cmp(&one.capacity);
            capacity.then_with(|| one.id.cmp(&other.id))
        });
        let relays = if by_capacity.len() <= max_follower_count(own) {
            BTreeMap::new()
        } else {
            relays(&by_capacity)
        };
        Self {
            leader: own.relay_address,
            relays,
            stand_ins: stand_ins(own, &by_capacity),
            version,
        }
    }

    /// Whether both name the same instances.
    #[must_use]
    pub fn has_same_members(&self, other: &Self) -> bool {
        let version = self.version;
        *self
            == Self {
                version,
                ..other.clone()
            }
    }

    /// Addresses that an instance asks, in this order. Invariant: an instance never asks one that asks
    /// it by the same tree.
    #[must_use]
    pub fn sources(&self, row: &InstanceRow) -> Vec<SocketAddr> {
        let own = row.relay_address;
        let upper = std::iter::once(self.leader).chain(self.stand_ins.iter().copied());
        // A leader that is one no longer asks those that stand in for it.
        if own == self.leader {
            return self.stand_ins.clone();
        }
        let mut sources = self.relays_for(row);
        for address in upper.take_while(|address| *address != own) {
            if !sources.contains(&address) {
                sources.push(address);
            }
        }
        sources
    }

    /// Relays that an instance asks before all others; none for those that relay or stand in themselves.
    #[must_use]
    pub fn relays_for(&self, row: &InstanceRow) -> Vec<SocketAddr> {
        if self.role_of(row.relay_address) != TreeRole::Follower {
            return Vec::new();
        }
        let mut relays = self.relays.get(&row.domain).cloned().unwrap_or_default();
        // Each instance has an order of its own, which other relays do not change.
        relays.sort_by_key(|relay| {
            let mut hasher = DefaultHasher::new();
            (&row.id, relay).hash(&mut hasher);
            hasher.finish()
        });
        relays
    }

    /// Place of the instance at an address.
    #[must_use]
    pub fn role_of(&self, address: SocketAddr) -> TreeRole {
        if address == self.leader {
            return TreeRole::Leader;
        }
        if self.stand_ins.contains(&address) {
            return TreeRole::StandIn;
        }
        let mut relays = self.relays.values();
        if relays.any(|relays| relays.contains(&address)) {
            return TreeRole::Relay;
        }
        TreeRole::Follower
    }

    /// Whether an instance relays to others of its failure domain.
    #[must_use]
    pub fn is_relay(&self, row: &InstanceRow) -> bool {
        let relays = self.relays.get(&row.domain);
        row.relay_address != self.leader
            && relays.is_some_and(|relays| relays.contains(&row.relay_address))
    }

    /// Most instances between the stores and an answer that counts: the stand-ins, and relays if there
    /// are any. More of them show instances that follow each other in a circle.
    #[must_use]
    pub fn max_distance(&self) -> u32 {
        1 + u32::from(!self.relays.is_empty())
    }
}

/// Instances that one can serve.
fn max_follower_count(row: &InstanceRow) -> usize {
    (row.capacity / CAPACITY_PER_INSTANCE) as usize
}

fn stand_ins(own: &InstanceRow, by_capacity: &[&InstanceRow]) -> Vec<SocketAddr> {
    let mut domains = HashSet::from([&own.domain]);
    let (first, last): (Vec<&InstanceRow>, Vec<&InstanceRow>) = by_capacity
        .iter()
        .partition(|row| domains.insert(&row.domain));
    let stand_ins = first.into_iter().chain(last).take(STAND_IN_COUNT);
    stand_ins.map(|row| row.relay_address).collect()
}

fn relays(by_capacity: &[&InstanceRow]) -> BTreeMap<Arc<str>, Vec<SocketAddr>> {
    let mut domains: BTreeMap<Arc<str>, Vec<&InstanceRow>> = BTreeMap::new();
    for row in by_capacity {
        domains.entry(row.domain.clone()).or_default().push(row);
    }
    let mut relays = BTreeMap::new();
    for (domain, rows) in domains {
        let mut chosen = Vec::new();
        // What is left when the ablest relay is lost.
        let mut reserve_count = 0;
        for row in &rows {
            if reserve_count >= rows.len() && chosen.len() >= MIN_RELAY_COUNT {
                break;
            }
            if !chosen.is_empty() {
                reserve_count += max_follower_count(row).max(1);
            }
            chosen.push(row.relay_address);
        }
        relays.insert(domain, chosen);
    }
    relays
}
