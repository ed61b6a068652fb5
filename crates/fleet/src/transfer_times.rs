use {super::*, std::cell::Cell};

/// Index of a failure domain in `TransferTimes`.
pub(crate) type DomainIndex = usize;

/// Times that transfers to and between stages add to the answer of one request, in milliseconds. Those
/// between stages are computed on first use and cached.
pub(crate) struct TransferTimes<'a> {
    stage_hop_ms: Vec<Cell<Option<f64>>>,
    demand: &'a Demand,
    domains: Vec<&'a DomainName>,
    now: Duration,
    instance_factor: f64,
    link_loads: &'a LinkLoads,
    profile: &'a EngineProfile,
    settings: &'a FleetSettings,
}

impl<'a> TransferTimes<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        now: Duration,
        profile: &'a EngineProfile,
        demand: &'a Demand,
        domains: impl Iterator<Item = &'a DomainName>,
    ) -> Self {
        let domains: BTreeSet<&DomainName> = domains.collect();
        let domains: Vec<&DomainName> = domains.into_iter().collect();
        Self {
            stage_hop_ms: vec![Cell::new(None); domains.len() * domains.len()],
            demand,
            domains,
            now,
            instance_factor: fleet.instance_factor(),
            link_loads: &fleet.link_loads,
            profile,
            settings: &fleet.settings,
        }
    }

    /// Index of a failure domain. Unknown names map to the first domain.
    pub(crate) fn domain_index(&self, name: &DomainName) -> DomainIndex {
        self.domains.binary_search(&name).unwrap_or_default()
    }

    /// Time of the hop to the first stage. It does not depend on the link's bandwidth, as the instance
    /// sends text instead of activations.
    pub(crate) fn first_hop_ms(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        let mut cost_ms = self.settings.hop_ms * self.demand.answer_tokens;
        if from != to {
            cost_ms += self.settings.domain_change_ms * self.demand.answer_tokens;
        }
        cost_ms
    }

    /// Time of a hop between two stages.
    pub(crate) fn stage_hop_ms(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        let known = &self.stage_hop_ms[from * self.domains.len() + to];
        if let Some(cost_ms) = known.get() {
            return cost_ms;
        }
        let cost_ms = self.first_hop_ms(from, to) + self.transfer_ms(from, to);
        known.set(Some(cost_ms));
        cost_ms
    }

    /// Time that the activations of all tokens of the request take from one stage to the next; 0 within
    /// a failure domain.
    pub(crate) fn transfer_ms(&self, from: DomainIndex, to: DomainIndex) -> f64 {
        if from == to {
            return 0.0;
        }
        let link_mbps = self.profile.pipe_mbps.max(1.0);
        let bits = self.demand.tokens() * self.profile.activation_bytes * 8.0;
        let pair = (self.domains[from], self.domains[to]);
        let factor = self
            .link_loads
            .delay_factor(self.now, pair, self.instance_factor, link_mbps);
        bits / (link_mbps * 1_000.0) * factor
    }
}
