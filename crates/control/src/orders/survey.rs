use super::*;

/// What one placement decision may look at.
pub(crate) struct Scene<'a> {
    /// Targets that run requests of this instance.
    pub(crate) held: &'a BTreeSet<TargetId>,
    pub(crate) members: &'a Members,
    /// Models that plans name.
    pub(crate) named: BTreeSet<&'a ModelId>,
    /// Engines whose newest order no report shows, with what they are to hold.
    pub(crate) pending: BTreeMap<TargetId, Vec<LoadedModel>>,
    pub(crate) settings: &'a OrderSettings,
}

impl<'a> Scene<'a> {
    pub(crate) fn engines(&self) -> Vec<&'a Target> {
        self.members
            .targets()
            .filter(|one| is_usable(one))
            .collect()
    }
}

/// Use of one shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Use {
    /// Engines that hold it, or are ordered to.
    pub(crate) holders: BTreeMap<TargetId, FailureDomain>,
    /// Engines that hold it and have no order outstanding.
    serving: BTreeMap<TargetId, FailureDomain>,
    slots: f64,
    work: f64,
}

impl Use {
    /// Failure domains of the serving holders other than `engine`.
    fn domains_without(&self, engine: &str) -> BTreeSet<&FailureDomain> {
        let others = self
            .serving
            .iter()
            .filter(|(holder, _)| ***holder != *engine);
        others.map(|(_, domain)| domain).collect()
    }

    pub(crate) fn domains(&self) -> BTreeSet<&FailureDomain> {
        self.holders.values().collect()
    }

    pub(crate) fn fraction(&self) -> f64 {
        self.work / self.slots.max(1.0)
    }
}

/// How the shards are held and used.
pub(crate) struct Survey<'a> {
    /// Models with running or waiting requests.
    busy: BTreeSet<&'a ModelId>,
    /// Failure domains in which each shard is to be held.
    pub(crate) domain_count: usize,
    pub(crate) engines: Vec<&'a Target>,
    scene: &'a Scene<'a>,
    pub(crate) settings: &'a OrderSettings,
    pub(crate) uses: BTreeMap<Shard, Use>,
}

impl<'a> Survey<'a> {
    pub(crate) fn new(
        engines: Vec<&'a Target>,
        scene: &'a Scene<'a>,
        shards: &BTreeMap<Shard, LoadedModel>,
    ) -> Self {
        let domains: BTreeSet<_> = engines.iter().map(|one| &one.failure_domain).collect();
        let mut survey = Self {
            busy: BTreeSet::new(),
            domain_count: scene.settings.min_domain_count.min(domains.len()),
            engines: Vec::new(),
            scene,
            settings: scene.settings,
            uses: BTreeMap::new(),
        };
        for shard in shards.keys() {
            survey.uses.entry(shard.clone()).or_default();
        }
        for engine in &engines {
            survey.count(engine);
        }
        survey.engines = engines;
        survey
    }

    fn count(&mut self, engine: &'a Target) {
        let pending = self.scene.pending.get(&engine.id);
        let work = work(engine);
        let part = 1.0 / engine.report.models.len().max(1) as f64;
        for loaded in &engine.report.models {
            let one = self.uses.entry(shard_of(loaded)).or_default();
            one.slots += f64::from(engine.report.slot_count) * part;
            one.work += f64::from(work) * part;
            if work > 0 {
                self.busy.insert(&loaded.model);
            }
            if pending.is_none() {
                let (id, domain) = (engine.id.clone(), engine.failure_domain.clone());
                one.serving.insert(id, domain);
            }
        }
        for loaded in pending.unwrap_or(&engine.report.models) {
            let one = self.uses.entry(shard_of(loaded)).or_default();
            let (id, domain) = (engine.id.clone(), engine.failure_domain.clone());
            one.holders.insert(id, domain);
        }
    }

    /// Whether a plan names a model, or a request runs on it.
    pub(crate) fn is_in_use(&self, model: &ModelId) -> bool {
        self.scene.named.contains(model) || self.busy.contains(model)
    }

    /// Whether an engine may be given another set of models: no request runs or waits there, and
    /// every model in use that it holds stays in enough failure domains, and below the donor's
    /// limit, without it. So its complete chains stay too.
    pub(crate) fn is_spare(&self, engine: &Target) -> bool {
        if self.scene.pending.contains_key(&engine.id) {
            return false;
        }
        let models = &engine.report.models;
        if models.is_empty() {
            return true;
        }
        let part = 1.0 / models.len() as f64;
        let is_left = |loaded: &LoadedModel| {
            let Some(one) = self.uses.get(&shard_of(loaded)) else {
                return false;
            };
            let slots = one.slots - f64::from(engine.report.slot_count) * part;
            let has_places = slots > 0.0 && one.work / slots <= self.settings.donor_max_use;
            let domain_count = self.domain_count.max(1);
            has_places && one.domains_without(&engine.id).len() >= domain_count
        };
        let is_free = |loaded: &LoadedModel| !self.is_in_use(&loaded.model) || is_left(loaded);
        let is_idle = work(engine) == 0 && !self.scene.held.contains(&engine.id);
        is_idle && models.iter().all(is_free)
    }

    /// An engine that may reload a model with the adapters of the settings. One at a time, as an
    /// engine with an outstanding order does not count as serving.
    pub(crate) fn outdated(&self) -> Option<Placement> {
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
            let Some(reason) = reason.filter(|_| self.is_spare(engine)) else {
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

/// Part of a model that an engine holds.
pub(crate) fn shard_of(loaded: &LoadedModel) -> Shard {
    (loaded.model.clone(), loaded.layers)
}

fn is_usable(target: &Target) -> bool {
    let is_engine = matches!(target.role, ListingRole::Engine { .. });
    is_engine && target.health == TargetHealth::Live
}

fn work(engine: &Target) -> u32 {
    engine.report.running_count + engine.report.waiting_count
}
