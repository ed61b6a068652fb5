use super::*;

/// Time after which the demand of a silent peer no longer counts.
const DEMAND_MEMORY: Duration = Duration::from_secs(3);

/// Length of one instance's turn to take what rounding leaves over of a limit.
const TURN_MS: u64 = 2_000;

/// Weight of one request of demand against the weight 1 that each live instance has without
/// demand, for demand that it has not announced yet.
const DEMAND_WEIGHT: u64 = 4;

/// Concurrency limits of accounts, divided over the live instances by demand.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Own demand in the last two heartbeats.
    announced: VecDeque<BTreeMap<AccountId, (u32, u32)>>,
    own: BTreeMap<AccountId, (u32, u32)>,
    peers: BTreeMap<InstanceId, PeerDemand>,
}

#[derive(Clone, Debug)]
struct PeerDemand {
    /// Running and waiting requests by account.
    demands: BTreeMap<AccountId, (u32, u32)>,
    received_at: Duration,
}

impl Limits {
    /// Notes that heartbeats with the present demand were sent.
    pub fn announce(&mut self) {
        self.announced.push_back(self.own.clone());
        if self.announced.len() > 2 {
            self.announced.pop_front();
        }
    }

    /// Own demand, for heartbeats.
    #[must_use]
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (account, (running_count, waiting_count)) in &self.own {
            demands.push(Demand {
                account: account.clone(),
                running_count: *running_count,
                waiting_count: *waiting_count,
            });
        }
        demands
    }

    /// How many instances like this one share the targets: the announced demand of all over one's
    /// own. Before a rise of demand is announced, it counts as shared by all.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        let sum = |demands: &BTreeMap<AccountId, (u32, u32)>| -> u32 {
            demands
                .values()
                .map(|(running, waiting)| running + waiting)
                .sum()
        };
        let own = demand_weight(self.announced.iter().map(sum).min().unwrap_or_default());
        let mut total = own;
        let mut count = 1.0_f64;
        for (_, peer) in self.live(now) {
            total += demand_weight(sum(&peer.demands));
            count += 1.0;
        }
        (total as f64 / own as f64).clamp(1.0, count)
    }

    /// Takes in the demands of a peer.
    pub fn heartbeat_received(&mut self, now: Duration, heartbeat: &Heartbeat) {
        if heartbeat.leaving && heartbeat.demands.is_empty() {
            self.peers.remove(&heartbeat.sender);
            return;
        }
        let mut demands = BTreeMap::new();
        for demand in &heartbeat.demands {
            let counts = (demand.running_count, demand.waiting_count);
            demands.insert(demand.account.clone(), counts);
        }
        let demand = PeerDemand {
            demands,
            received_at: now,
        };
        self.peers.insert(heartbeat.sender.clone(), demand);
    }

    /// Whether one more request of an account may start here under `limit` for all instances.
    ///
    /// Each instance has the part of the limit that its announced demand is of the whole. Demand
    /// counts only after a second heartbeat: when it rises at several instances at once, all have
    /// heard of each other by then, and none has taken the share of another. What rounding leaves
    /// over goes to one instance at a time, in an order that changes with every turn, so that a
    /// small limit serves every instance. The second half of a turn is left unused: by its end the
    /// others know by heartbeat what was taken.
    #[must_use]
    pub fn may_start(
        &self,
        now: Duration,
        wall: SystemTime,
        identity: &Identity,
        account: &AccountId,
        limit: u32,
    ) -> bool {
        let own_running = self.own.get(account).map_or(0, |(running, _)| *running);
        let own_weight = demand_weight(self.announced_demand(account));
        let mut total_running = own_running;
        let mut weights = vec![own_weight];
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis() as u64;
        let turn = millis / TURN_MS;
        let own_rank = rank(&identity.instance, account, turn);
        let mut is_first = millis % TURN_MS < TURN_MS / 2;
        for (instance, peer) in self.live(now) {
            let demand = peer.demands.get(account).copied();
            let (running, waiting) = demand.unwrap_or_default();
            weights.push(demand_weight(running + waiting));
            total_running += running;
            is_first &= rank(instance, account, turn) < own_rank;
        }
        let total_weight: u64 = weights.iter().sum();
        let share = |weight: &u64| u64::from(limit) * weight / total_weight;
        let mut own_share = share(&own_weight);
        if is_first {
            own_share += u64::from(limit) - weights.iter().map(share).sum::<u64>();
        }
        total_running < limit && u64::from(own_running) < own_share
    }

    fn announced_demand(&self, account: &AccountId) -> u32 {
        let mut least = u32::MAX;
        for demands in &self.announced {
            let (running, waiting) = demands.get(account).copied().unwrap_or_default();
            least = least.min(running + waiting);
        }
        if self.announced.is_empty() { 0 } else { least }
    }

    /// Adds to the own counts of running and waiting requests.
    pub fn change(&mut self, account: &AccountId, running: i32, waiting: i32) {
        let counts = self.own.entry(account.clone()).or_default();
        counts.0 = counts.0.saturating_add_signed(running);
        counts.1 = counts.1.saturating_add_signed(waiting);
        if *counts == (0, 0) {
            self.own.remove(account);
        }
    }

    /// Waiting requests of all accounts here.
    #[must_use]
    pub fn waiting_count(&self) -> u32 {
        self.own.values().map(|(_, waiting)| waiting).sum()
    }

    /// Running requests of all accounts here.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.own.values().map(|(running, _)| running).sum()
    }

    /// Forgets silent peers.
    pub fn tick(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.received_at) <= DEMAND_MEMORY);
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &PeerDemand)> {
        let is_live =
            move |peer: &PeerDemand| now.saturating_sub(peer.received_at) <= DEMAND_MEMORY;
        self.peers.iter().filter(move |(_, peer)| is_live(peer))
    }
}

fn demand_weight(demand: u32) -> u64 {
    u64::from(demand) * DEMAND_WEIGHT + 1
}

fn rank(instance: &InstanceId, account: &AccountId, turn: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, account, turn).hash(&mut hasher);
    hasher.finish()
}
