use super::*;

/// Part of a model that is held as a unit.
pub(crate) type Shard = (ModelId, LayerRange);

/// A change of one engine, with its reason.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) alternatives: Vec<Candidate>,
    pub(crate) chosen: Candidate,
    /// Everything that the engine is to hold.
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) reason: String,
}

/// Needs that last, by shard. Every instance computes the same needs from the same digests; only
/// the owner of the chosen engine acts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements {
    /// Since when each shard needs more engines, and how many held it then. A need that was
    /// answered by another engine counts from the start again.
    needs: BTreeMap<Shard, (Duration, usize)>,
    /// Shards that were seen, with what holding them takes.
    shards: BTreeMap<Shard, LoadedModel>,
}

impl Placements {
    /// Chooses the most urgent change, if a need has lasted; otherwise an engine whose adapters
    /// are not those of the settings.
    pub(crate) fn choose(&mut self, now: Duration, scene: &Scene) -> Option<Placement> {
        let engines: Vec<&Target> = scene.engines();
        self.remember(&engines, scene);
        let survey = Survey::new(engines, scene, &self.shards);
        self.note(now, &survey);
        let lasting = Duration::from_millis(scene.settings.lasting_ms);
        let mut due: Vec<(bool, f64, Shard)> = Vec::new();
        for (shard, (since, _)) in &self.needs {
            if now.saturating_sub(*since) >= lasting {
                let Some(one) = survey.uses.get(shard) else {
                    continue;
                };
                let is_covered = one.domains().len() >= survey.domain_count;
                due.push((!is_covered, one.fraction(), shard.clone()));
            }
        }
        // Missing cover first, then the highest use.
        due.sort_by(|left, right| {
            let urgency = right.0.cmp(&left.0).then(right.1.total_cmp(&left.1));
            urgency.then(left.2.cmp(&right.2))
        });
        let needed = due
            .into_iter()
            .find_map(|(is_uncovered, _, shard)| self.engine_for(&shard, is_uncovered, &survey));
        needed.or_else(|| survey.outdated())
    }

    /// Counts the need of a shard from `since`, after an engine was ordered for it.
    pub(crate) fn served(&mut self, loaded: &LoadedModel, since: Duration) {
        let shard = (loaded.model.clone(), loaded.layers);
        if let Some(need) = self.needs.get_mut(&shard) {
            need.0 = since;
        }
    }

    /// Notes how the shards of the models that plans name are held: by the settings, or as engines
    /// hold them or held them. A model that no engine ever held and that the settings leave out
    /// cannot be loaded, as its layers are not known.
    fn remember(&mut self, engines: &[&Target], scene: &Scene) {
        for engine in engines {
            for loaded in &engine.report.models {
                let shard = (loaded.model.clone(), loaded.layers);
                let known = self.shards.entry(shard).or_insert_with(|| loaded.clone());
                // Engines may hold different adapters; one that is lost would fail its requests.
                for adapter in &loaded.adapters {
                    if !known.adapters.contains(adapter) {
                        known.adapters.push(adapter.clone());
                    }
                }
            }
        }
        for model in &scene.named {
            let Some(shape) = scene.settings.models.get(*model) else {
                continue;
            };
            let is_known = self.shards.keys().any(|shard| shard.0 == **model);
            if !is_known {
                for loaded in shape.stages(model) {
                    let shard = (loaded.model.clone(), loaded.layers);
                    self.shards.insert(shard, loaded);
                }
            }
            for (_, loaded) in self.shards.iter_mut().filter(|one| one.0.0 == **model) {
                loaded.adapters.clone_from(&shape.adapters);
            }
        }
        self.shards.retain(|shard, _| {
            let is_held = |engine: &&Target| {
                let mut models = engine.report.models.iter();
                models.any(|one| one.model == shard.0 && one.layers == shard.1)
            };
            scene.named.contains(&shard.0) || engines.iter().any(is_held)
        });
    }

    /// Starts and ends needs. Between the two limits a need stays as it is.
    fn note(&mut self, now: Duration, survey: &Survey) {
        self.needs.retain(|shard, _| survey.is_in_use(&shard.0));
        for (shard, one) in &survey.uses {
            if !survey.is_in_use(&shard.0) {
                continue;
            }
            let is_uncovered = one.domains().len() < survey.domain_count;
            if is_uncovered || one.fraction() >= survey.settings.high_use {
                let count = one.holders.len();
                let need = self.needs.entry(shard.clone()).or_insert((now, count));
                if count > need.1 {
                    need.0 = now;
                }
                need.1 = count;
            } else if one.fraction() < survey.settings.low_use {
                self.needs.remove(shard);
            }
        }
    }

    fn engine_for(&self, shard: &Shard, is_uncovered: bool, survey: &Survey) -> Option<Placement> {
        let need = survey.uses.get(shard)?;
        let mut candidates: Vec<(bool, Candidate)> = Vec::new();
        for engine in &survey.engines {
            let is_new_domain = !need.domains().contains(&engine.failure_domain);
            let is_holder = need.holders.contains_key(&engine.id);
            let is_useful = is_new_domain || !is_uncovered;
            if is_holder || !is_useful || !survey.is_spare(engine) {
                continue;
            }
            let work = engine.report.running_count + engine.report.waiting_count;
            let held = engine.report.models.len();
            // Requests that the change displaces, and one more for a model that is unloaded.
            let score_ms = f64::from(work) + held as f64;
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
        let cause = match is_uncovered {
            true if need.holders.is_empty() => "no engine holds it",
            true => "too few failure domains",
            false => "high use",
        };
        let reason = format!(
            "load {} layers {}..{}: {cause}, use {:.2} over {} engines in {} domains",
            shard.0,
            shard.1.start,
            shard.1.end,
            need.fraction(),
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
