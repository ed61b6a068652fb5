use super::*;

/// Time after which the demand of a silent peer no longer counts.
const DEMAND_MEMORY: Duration = Duration::from_secs(3);

/// Concurrency limits of accounts, divided over the live instances by demand.
#[derive(Clone, Debug, Default)]
pub struct Limits {
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

    /// How many instances like this one share the targets: the demand of all over one's own,
    /// between 1 and the number of instances with demand.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        let sum = |demands: &BTreeMap<AccountId, (u32, u32)>| -> u32 {
            demands
                .values()
                .map(|(running, waiting)| running + waiting)
                .sum()
        };
        let own = sum(&self.own).max(1);
        let (mut total, mut count) = (own, 1.0_f64);
        for peer in self.live(now) {
            let demand = sum(&peer.demands);
            total += demand;
            count += if demand > 0 { 1.0 } else { 0.0 };
        }
        (f64::from(total) / f64::from(own)).clamp(1.0, count)
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
    /// Each instance has the part of the limit that its demand is of the whole. What rounding
    /// leaves over goes to one instance with waiting work at a time, in an order that changes
    /// every second, so that a small limit serves every instance.
    #[must_use]
    pub fn may_start(
        &self,
        now: Duration,
        wall: SystemTime,
        identity: &Identity,
        account: &AccountId,
        limit: u32,
    ) -> bool {
        let (own_running, own_waiting) = self.own.get(account).copied().unwrap_or_default();
        let own_demand = (own_running + own_waiting).max(1);
        let (mut total_demand, mut total_running) = (own_demand, own_running);
        let second = wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        let own_rank = rank(&identity.instance, account, second);
        let mut is_first = true;
        for (instance, peer) in &self.peers {
            if now.saturating_sub(peer.received_at) > DEMAND_MEMORY {
                continue;
            }
            let Some((running, waiting)) = peer.demands.get(account).copied() else {
                continue;
            };
            total_demand += running + waiting;
            total_running += running;
            is_first &= waiting == 0 || rank(instance, account, second) < own_rank;
        }
        let share = u64::from(limit) * u64::from(own_demand) / u64::from(total_demand);
        u64::from(own_running) < share || (total_running < limit && is_first)
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

    fn live(&self, now: Duration) -> impl Iterator<Item = &PeerDemand> {
        let is_live =
            move |peer: &&PeerDemand| now.saturating_sub(peer.received_at) <= DEMAND_MEMORY;
        self.peers.values().filter(is_live)
    }
}

fn rank(instance: &InstanceId, account: &AccountId, second: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (instance, account, second).hash(&mut hasher);
    hasher.finish()
}
