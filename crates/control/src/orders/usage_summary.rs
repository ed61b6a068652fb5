use super::*;

/// Input of one placement decision.
pub(crate) struct PlacementInput<'a> {
    /// Targets that run requests of this instance, which their reports may not show yet.
    pub(crate) targets_in_use: &'a BTreeSet<TargetId>,
    pub(crate) members: &'a Members,
    /// Models that are named by a plan.
    pub(crate) planned_models: BTreeSet<&'a ModelId>,
    /// Engines whose reports do not show their newest order, with the models that it states.
    pub(crate) pending: BTreeMap<TargetId, Vec<LoadedModel>>,
    pub(crate) settings: &'a OrderSettings,
}

impl<'a> PlacementInput<'a> {
    /// Live engines.
    pub(crate) fn engines(&self) -> Vec<&'a Target> {
        self.members
            .targets()
            .filter(|target| is_live_engine(target))
            .collect()
    }
}

/// Holders and load of one shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardUse {
    /// Engines that hold the shard or are ordered to load it.
    pub(crate) holders: BTreeMap<TargetId, FailureDomain>,
    /// Engines that hold the shard and have no outstanding order.
    serving: BTreeMap<TargetId, FailureDomain>,
    /// Slots for the shard. An engine with several shards counts an equal share of its slots for
    /// each.
    slots: f64,
    /// Running and waiting requests, shared in the same way.
    requests: f64,
}

impl ShardUse {
    /// Failure domains of the serving engines other than `engine`.
    fn domains_excluding(&self, engine: &str) -> BTreeSet<&FailureDomain> {
        let others = self
            .serving
            .iter()
            .filter(|(holder, _)| ***holder != *engine);
        others.map(|(_, domain)| domain).collect()
    }

    /// Failure domains in which the shard is held or will be.
    pub(crate) fn domains(&self) -> BTreeSet<&FailureDomain> {
        self.holders.values().collect()
    }

    /// Requests per slot; above 1 if requests wait.
    pub(crate) fn utilization(&self) -> f64 {
        self.requests / self.slots.max(1.0)
    }
}

/// Holders and load of all known shards.
pub(crate) struct UsageSummary<'a> {
    /// Models with running or waiting requests.
    busy: BTreeSet<&'a ModelId>,
    /// Number of failure domains in which each shard is to be held.
    pub(crate) domain_count: usize,
    pub(crate) engines: Vec<&'a Target>,
    input: &'a PlacementInput<'a>,
    pub(crate) settings: &'a OrderSettings,
    pub(crate) shard_uses: BTreeMap<Shard, ShardUse>,
}

impl<'a> UsageSummary<'a> {
    pub(crate) fn new(
        engines: Vec<&'a Target>,
        input: &'a PlacementInput<'a>,
        shards: &BTreeMap<Shard, LoadedModel>,
    ) -> Self {
        let domains: BTreeSet<_> = engines
            .iter()
            .map(|engine| &engine.failure_domain)
            .collect();
        let mut usage = Self {
            busy: BTreeSet::new(),
            domain_count: input.settings.min_domain_count.min(domains.len()),
            engines: Vec::new(),
            input,
            settings: input.settings,
            shard_uses: BTreeMap::new(),
        };
        for shard in shards.keys() {
            usage.shard_uses.entry(shard.clone()).or_default();
        }
        for engine in &engines {
            usage.add_engine(engine);
        }
        usage.engines = engines;
        usage
    }

    fn add_engine(&mut self, engine: &'a Target) {
        let pending = self.input.pending.get(&engine.id);
        let requests = request_count(engine);
        let share = 1.0 / engine.report.models.len().max(1) as f64;
        for loaded in &engine.report.models {
            let shard_use = self.shard_uses.entry(shard_of(loaded)).or_default();
            shard_use.slots += f64::from(engine.report.slot_count) * share;
            shard_use.requests += f64::from(requests) * share;
            if requests > 0 {
                self.busy.insert(&loaded.model);
            }
            if pending.is_none() {
                let (id, domain) = (engine.id.clone(), engine.failure_domain.clone());
                shard_use.serving.insert(id, domain);
            }
        }
        for loaded in pending.unwrap_or(&engine.report.models) {
            let shard_use = self.shard_uses.entry(shard_of(loaded)).or_default();
            let (id, domain) = (engine.id.clone(), engine.failure_domain.clone());
            shard_use.holders.insert(id, domain);
        }
    }

    /// Whether a plan names the model, or requests run or wait on an engine that holds it.
    pub(crate) fn is_in_use(&self, model: &ModelId) -> bool {
        self.input.planned_models.contains(model) || self.busy.contains(model)
    }

    /// Whether an engine may be ordered to hold other models: it has no requests, and without it
    /// every model in use that it holds stays in enough failure domains and at most at
    /// `donor_max_use`. So the pipelines of these models stay complete too.
    pub(crate) fn is_reassignable(&self, engine: &Target) -> bool {
        if self.input.pending.contains_key(&engine.id) {
            return false;
        }
        let models = &engine.report.models;
        if models.is_empty() {
            return true;
        }
        let share = 1.0 / models.len() as f64;
        let stays_covered = |loaded: &LoadedModel| {
            let Some(shard_use) = self.shard_uses.get(&shard_of(loaded)) else {
                return false;
            };
            let slots = shard_use.slots - f64::from(engine.report.slot_count) * share;
            let has_slots =
                slots > 0.0 && shard_use.requests / slots <= self.settings.donor_max_use;
            let domain_count = self.domain_count.max(1);
            has_slots && shard_use.domains_excluding(&engine.id).len() >= domain_count
        };
        let may_unload =
            |loaded: &LoadedModel| !self.is_in_use(&loaded.model) || stays_covered(loaded);
        let is_idle = request_count(engine) == 0 && !self.input.targets_in_use.contains(&engine.id);
        is_idle && models.iter().all(may_unload)
    }

    /// Engine that holds other adapters than the settings and may reload its models. Engines reload
    /// one at a time, as an engine with an outstanding order does not count as serving.
    pub(crate) fn choose_adapter_update(&self) -> Option<Placement> {
        for engine in &self.engines {
            let mut models = engine.report.models.clone();
            let mut reason = None;
            for loaded in &mut models {
                let shape = self.settings.models.get(&loaded.model);
                let Some(shape) = shape.filter(|shape| shape.adapters != loaded.adapters) else {
                    continue;
                };
                reason = Some(format!(
                    "load {} with adapters {:?} instead of {:?}: the settings changed",
                    loaded.model, shape.adapters, loaded.adapters
                ));
                loaded.adapters.clone_from(&shape.adapters);
            }
            let Some(reason) = reason.filter(|_| self.is_reassignable(engine)) else {
                continue;
            };
            return Some(Placement {
                alternatives: Vec::new(),
                chosen: Candidate {
                    score_ms: 0.0,
                    target: engine.id.clone(),
                },
                models,
                reason,
            });
        }
        None
    }
}

/// Shard that an engine holds by a loaded model.
pub(crate) fn shard_of(loaded: &LoadedModel) -> Shard {
    (loaded.model.clone(), loaded.layers)
}

fn is_live_engine(target: &Target) -> bool {
    let is_engine = matches!(target.role, ListingRole::Engine { .. });
    is_engine && target.health == TargetHealth::Live
}

fn request_count(engine: &Target) -> u32 {
    engine.report.running_count + engine.report.waiting_count
}
