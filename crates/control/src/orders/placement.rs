use super::*;

/// Range of layers of a model, which an engine loads as a unit.
pub(crate) type Shard = (ModelId, LayerRange);

/// Chosen change of the models of one engine, with its reason.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Next best engines, best first.
    pub(crate) alternatives: Vec<Candidate>,
    pub(crate) chosen: Candidate,
    /// All models that the engine is to hold.
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) reason: String,
}

/// Shards that need more engines, and since when. Every instance computes the same needs from the
/// same target digests; only the owner of the chosen engine sends an order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    /// Time since which each shard needs more engines, and the number of its holders at the last
    /// decision. When that number grows, the time starts again.
    needs: BTreeMap<Shard, (Duration, usize)>,
    /// Known shards, with what an engine must load to hold them.
    shards: BTreeMap<Shard, LoadedModel>,
}

impl Placements {
    /// Chooses the most urgent change among the needs that have lasted long enough; otherwise an
    /// engine whose adapters differ from the settings.
    pub(crate) fn choose(&mut self, now: Duration, input: &PlacementInput) -> Option<Placement> {
        let engines: Vec<&Target> = input.engines();
        self.update_shards(&engines, input);
        let usage = UsageSummary::new(engines, input, &self.shards);
        self.update_needs(now, &usage);
        let min_duration = Duration::from_millis(input.settings.lasting_ms);
        let mut due: Vec<(bool, f64, Shard)> = Vec::new();
        for (shard, (since, _)) in &self.needs {
            if now.saturating_sub(*since) >= min_duration {
                let Some(shard_use) = usage.shard_uses.get(shard) else {
                    continue;
                };
                let has_enough_domains = shard_use.domains().len() >= usage.domain_count;
                due.push((!has_enough_domains, shard_use.utilization(), shard.clone()));
            }
        }
        // Shards in too few failure domains first, then those with the highest utilization.
        due.sort_by(|left, right| {
            let urgency = right.0.cmp(&left.0).then(right.1.total_cmp(&left.1));
            urgency.then(left.2.cmp(&right.2))
        });
        let needed = due.into_iter().find_map(|(lacks_domains, _, shard)| {
            self.choose_engine(&shard, lacks_domains, &usage)
        });
        needed.or_else(|| usage.choose_adapter_update())
    }

    /// Restarts the duration of a shard's need at `since`, after an engine was ordered to load it.
    pub(crate) fn restart_need(&mut self, loaded: &LoadedModel, since: Duration) {
        let shard = (loaded.model.clone(), loaded.layers);
        if let Some(need) = self.needs.get_mut(&shard) {
            need.0 = since;
        }
    }

    /// Updates the known shards: those that engines hold, and those of the models that plans name,
    /// as the settings shape them or as engines held them before. A model that no engine ever held
    /// and that the settings do not contain cannot be loaded, as its layers are not known.
    fn update_shards(&mut self, engines: &[&Target], input: &PlacementInput) {
        for engine in engines {
            for loaded in &engine.report.models {
                let shard = (loaded.model.clone(), loaded.layers);
                let known = self.shards.entry(shard).or_insert_with(|| loaded.clone());
                // Engines may hold different adapters. The shard gets all of them, as requests for
                // a missing adapter would fail.
                for adapter in &loaded.adapters {
                    if !known.adapters.contains(adapter) {
                        known.adapters.push(adapter.clone());
                    }
                }
            }
        }
        for model in &input.planned_models {
            let Some(shape) = input.settings.models.get(*model) else {
                continue;
            };
            let is_known = self.shards.keys().any(|shard| shard.0 == **model);
            if !is_known {
                for loaded in shape.stages(model) {
                    let shard = (loaded.model.clone(), loaded.layers);
                    self.shards.insert(shard, loaded);
                }
            }
            for (_, loaded) in self.shards.iter_mut().filter(|entry| entry.0.0 == **model) {
                loaded.adapters.clone_from(&shape.adapters);
            }
        }
        self.shards.retain(|shard, _| {
            let is_held = |engine: &&Target| {
                let mut models = engine.report.models.iter();
                models.any(|held| held.model == shard.0 && held.layers == shard.1)
            };
            input.planned_models.contains(&shard.0) || engines.iter().any(is_held)
        });
    }

    /// Starts and ends needs. With a utilization between `low_use` and `high_use` a need stays as
    /// it is.
    fn update_needs(&mut self, now: Duration, usage: &UsageSummary) {
        self.needs.retain(|shard, _| usage.is_in_use(&shard.0));
        for (shard, shard_use) in &usage.shard_uses {
            if !usage.is_in_use(&shard.0) {
                continue;
            }
            let lacks_domains = shard_use.domains().len() < usage.domain_count;
            if lacks_domains || shard_use.utilization() >= usage.settings.high_use {
                let count = shard_use.holders.len();
                let need = self.needs.entry(shard.clone()).or_insert((now, count));
                if count > need.1 {
                    need.0 = now;
                }
                need.1 = count;
            } else if shard_use.utilization() < usage.settings.low_use {
                self.needs.remove(shard);
            }
        }
    }

    /// Engine that can load the shard at the lowest cost, if there is one. With `lacks_domains` only
    /// engines in further failure domains are considered.
    fn choose_engine(
        &self,
        shard: &Shard,
        lacks_domains: bool,
        usage: &UsageSummary,
    ) -> Option<Placement> {
        let need = usage.shard_uses.get(shard)?;
        let mut candidates: Vec<(bool, Candidate)> = Vec::new();
        for engine in &usage.engines {
            let is_new_domain = !need.domains().contains(&engine.failure_domain);
            let is_holder = need.holders.contains_key(&engine.id);
            let is_useful = is_new_domain || !lacks_domains;
            if is_holder || !is_useful || !usage.is_reassignable(engine) {
                continue;
            }
            let request_count = engine.report.running_count + engine.report.waiting_count;
            let model_count = engine.report.models.len();
            // Each displaced request and each unloaded model counts 1.
            let score_ms = f64::from(request_count) + model_count as f64;
            let target = engine.id.clone();
            candidates.push((is_new_domain, Candidate { score_ms, target }));
        }
        candidates.sort_by(|(left_new, left), (right_new, right)| {
            let by_score = left.score_ms.total_cmp(&right.score_ms);
            let by_domain = right_new.cmp(left_new);
            by_score
                .then(by_domain)
                .then(left.target.cmp(&right.target))
        });
        let mut ranked = candidates.into_iter().map(|(_, candidate)| candidate);
        let chosen = ranked.next()?;
        let cause = match lacks_domains {
            true if need.holders.is_empty() => "no engine holds it",
            true => "too few failure domains",
            false => "high use",
        };
        let reason = format!(
            "load {} layers {}..{}: {cause}, use {:.2} over {} engines in {} domains",
            shard.0,
            shard.1.start,
            shard.1.end,
            need.utilization(),
            need.holders.len(),
            need.domains().len()
        );
        Some(Placement {
            alternatives: ranked.take(3).collect(),
            chosen,
            models: vec![self.shards.get(shard)?.clone()],
            reason,
        })
    }
}
