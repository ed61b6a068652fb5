use super::*;

/// Number of stand-ins for the leader. With three in different failure domains, one remains when
/// two domains are lost.
const STAND_IN_COUNT: usize = 3;
/// Capacity required per child, in thousandths of a core. The queries of a child, 2.5 per second at
/// some tenths of a millisecond each, use only one thousandth, but requests of callers need most of
/// the rest.
const CAPACITY_PER_CHILD: u32 = 9;
/// Smallest number of relays of a failure domain, so that one remains when another is lost.
const MIN_RELAY_COUNT: usize = 2;

/// Longest age of state that a relay uses: a read by the leader takes up to 0.6 s, and the relay's
/// query waits for 0.2 s.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_300);
/// Longest age of state that a stand-in uses.
const MAX_STAND_IN_AGE: Duration = Duration::from_millis(1_000);

/// Tree that determines which instances query which: the leader, its stand-ins, and the relays of
/// each failure domain. The queried instance is the parent, and those that query it are its
/// children.
///
/// Relays query the leader and its stand-ins, and all other instances query the relays of their
/// failure domain, so an answer passes through at most two instances. There are no relays as long
/// as the leader can serve all instances itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayTree {
    /// Address at which the leader receives queries.
    pub leader: SocketAddr,
    /// Addresses of relays by failure domain, in descending order of capacity; empty while the
    /// leader serves all instances.
    pub relays: BTreeMap<Arc<str>, Vec<SocketAddr>>,
    /// Addresses of the stand-ins for the leader, in the order in which they are queried.
    pub stand_ins: Vec<SocketAddr>,
    /// Version, by which the newer of two trees is determined.
    pub version: TreeVersion,
}

/// Version of a tree: the fencing token of the leader that built it, then a counter.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TreeVersion {
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of trees that the leader had built before this one.
    pub number: u64,
}

/// Role of an instance in a tree.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TreeRole {
    /// Queries others and is queried by none.
    #[default]
    Follower,
    /// Holds the leadership and reads the stores.
    Leader,
    /// Queries the leader and answers queries of its failure domain.
    Relay,
    /// Queries the leader, and answers the relays when the leader does not.
    StandIn,
}

impl TreeRole {
    /// Age up to which an instance uses relayed state instead of reading the stores itself, where
    /// `limit` is the age up to which the state may be used at all. The difference leaves time for
    /// a read. Instances that answer queries have a lower limit than those that query them, so that
    /// their state is newer. The absolute maximum ensures that they detect the loss of the leader
    /// quickly, even if `limit` is long.
    pub(crate) fn max_age(self, limit: Duration) -> Duration {
        match self {
            Self::Follower => limit.mul_f64(0.65),
            Self::Relay => limit.mul_f64(0.58).min(MAX_RELAY_AGE),
            Self::Leader | Self::StandIn => limit.mul_f64(0.5).min(MAX_STAND_IN_AGE),
        }
    }
}

impl RelayTree {
    /// Builds the tree of a leader from the live instances, which may or may not include the
    /// leader.
    #[must_use]
    pub fn build(own: &InstanceRow, live: &[&InstanceRow], version: TreeVersion) -> Self {
        let mut by_capacity: Vec<&InstanceRow> = live.to_vec();
        by_capacity.retain(|row| row.id != own.id);
        by_capacity.sort_by(|one, other| {
            let capacity = other.capacity.cmp(&one.capacity);
            capacity.then_with(|| one.id.cmp(&other.id))
        });
        let relays = if by_capacity.len() <= max_child_count(own) {
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

    /// Whether both trees contain the same instances in the same roles, regardless of the version.
    #[must_use]
    pub fn has_same_members(&self, other: &Self) -> bool {
        let version = self.version;
        *self
            == Self {
                version,
                ..other.clone()
            }
    }

    /// Addresses of possible parents, which an instance queries in this order. Invariant: no cycle, so
    /// an instance never queries one that queries it according to the same tree.
    #[must_use]
    pub fn sources(&self, row: &InstanceRow) -> Vec<SocketAddr> {
        let own = row.relay_address;
        let leader_and_stand_ins =
            std::iter::once(self.leader).chain(self.stand_ins.iter().copied());
        // A former leader queries its stand-ins.
        if own == self.leader {
            return self.stand_ins.clone();
        }
        let mut sources = self.relays_for(row);
        for address in leader_and_stand_ins.take_while(|address| *address != own) {
            if !sources.contains(&address) {
                sources.push(address);
            }
        }
        sources
    }

    /// Relays that an instance queries before all others; none for the leader, stand-ins and
    /// relays.
    #[must_use]
    pub fn relays_for(&self, row: &InstanceRow) -> Vec<SocketAddr> {
        if self.role_of(row.relay_address) != TreeRole::Follower {
            return Vec::new();
        }
        let mut relays = self.relays.get(&row.domain).cloned().unwrap_or_default();
        // Each instance has its own order, derived from a hash, that does not change when other
        // relays are added or removed.
        relays.sort_by_key(|relay| {
            let mut hasher = DefaultHasher::new();
            (&row.id, relay).hash(&mut hasher);
            hasher.finish()
        });
        relays
    }

    /// Role of the instance at an address.
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

    /// Whether an instance answers queries of its failure domain as a relay. A stand-in can also be
    /// a relay.
    #[must_use]
    pub fn is_relay(&self, row: &InstanceRow) -> bool {
        let relays = self.relays.get(&row.domain);
        row.relay_address != self.leader
            && relays.is_some_and(|relays| relays.contains(&row.relay_address))
    }

    /// Largest number of instances between the stores and an answer that is accepted: the
    /// stand-ins, and the relays if there are any. A greater distance shows that instances query
    /// each other in a cycle.
    #[must_use]
    pub fn max_distance(&self) -> u32 {
        1 + u32::from(!self.relays.is_empty())
    }
}

/// Number of children that an instance can serve.
fn max_child_count(row: &InstanceRow) -> usize {
    (row.capacity / CAPACITY_PER_CHILD) as usize
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
        // Number of instances that can still be served after the loss of the relay with the highest
        // capacity.
        let mut reserve_count = 0;
        for row in &rows {
            if reserve_count >= rows.len() && chosen.len() >= MIN_RELAY_COUNT {
                break;
            }
            if !chosen.is_empty() {
                reserve_count += max_child_count(row).max(1);
            }
            chosen.push(row.relay_address);
        }
        relays.insert(domain, chosen);
    }
    relays
}
