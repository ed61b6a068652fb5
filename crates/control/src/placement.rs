use super::*;

/// Part of a model that is held as a unit.
pub(crate) type Shard = (ModelId, LayerRange);

/// A change of one engine, with its reason.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) alternatives: Vec<Candidate>,
    pub(crate) chosen: Candidate,
    pub(crate) loaded: LoadedModel,
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

/// Use of one shard.
#[derive(Clone, Debug, Default)]
struct Use {
    holders: BTreeMap<TargetId, FailureDomain>,
    slots: f64,
    work: f64,
}

impl Use {
    /// Failure domains of the holders other than `engine`.
    fn domains_without(&self, engine: &str) -> BTreeSet<&FailureDomain> {
        let others = self
            .holders
            .iter()
            .filter(|(holder, _)| ***holder != *engine);
        others.map(|(_, domain)| domain).collect()
    }

    fn domains(&self) -> BTreeSet<&FailureDomain> {
        self.holders.values().collect()
    }

    fn fraction(&self) -> f64 {
        self.work / self.slots.max(1.0)
    }
}

impl Placements {
    /// Chooses the most urgent change, if a need has lasted.
    pub(crate) fn choose(
        &mut self,
        now: Duration,
        members: &Members,
        settings: &OrderSettings,
    ) -> Option<Placement> {
        let engines: Vec<&Target> = members.targets().filter(|one| is_usable(one)).collect();
        let domains: BTreeSet<_> = engines.iter().map(|one| &one.failure_domain).collect();
        let survey = Survey {
            domain_count: settings.min_domain_count.min(domains.len()),
            uses: self.measure(&engines),
            engines,
            settings,
        };
        self.note(now, &survey);
        let lasting = Duration::from_millis(settings.lasting_ms);
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
        due.into_iter()
            .find_map(|(is_uncovered, _, shard)| self.engine_for(&shard, is_uncovered, &survey))
    }

    /// Counts the need of a shard from `since`, after an engine was ordered for it.
    pub(crate) fn served(&mut self, loaded: &LoadedModel, since: Duration) {
        let shard = (loaded.model.clone(), loaded.layers);
        if let Some(need) = self.needs.get_mut(&shard) {
            need.0 = since;
        }
    }

    fn measure(&mut self, engines: &[&Target]) -> BTreeMap<Shard, Use> {
        for engine in engines {
            for loaded in &engine.report.models {
                let shard = (loaded.model.clone(), loaded.layers);
                self.shards.insert(shard, loaded.clone());
            }
        }
        let mut uses: BTreeMap<Shard, Use> = BTreeMap::new();
        for shard in self.shards.keys() {
            uses.entry(shard.clone()).or_default();
        }
        for engine in engines {
            let models = &engine.report.models;
            let part = 1.0 / models.len().max(1) as f64;
            for loaded in models {
                let one = uses
                    .entry((loaded.model.clone(), loaded.layers))
                    .or_default();
                let work = engine.report.running_count + engine.report.waiting_count;
                one.holders
                    .insert(engine.id.clone(), engine.failure_domain.clone());
                one.slots += f64::from(engine.report.slot_count) * part;
                one.work += f64::from(work) * part;
            }
        }
        uses
    }

    /// Starts and ends needs. Between the two limits a need stays as it is.
    fn note(&mut self, now: Duration, survey: &Survey) {
        for (shard, one) in &survey.uses {
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
        let cause = if is_uncovered {
            "too few failure domains"
        } else {
            "high use"
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
            loaded: self.shards.get(shard)?.clone(),
            reason,
        })
    }
}

/// What one decision is based on.
struct Survey<'a> {
    /// Failure domains in which each shard is to be held.
    domain_count: usize,
    engines: Vec<&'a Target>,
    settings: &'a OrderSettings,
    uses: BTreeMap<Shard, Use>,
}

impl Survey<'_> {
    /// Whether an engine may be given another model: everything that it holds stays in enough
    /// failure domains, and below the donor's limit, without it.
    fn is_spare(&self, engine: &Target) -> bool {
        let models = &engine.report.models;
        let part = 1.0 / models.len().max(1) as f64;
        models.iter().all(|loaded| {
            let Some(one) = self.uses.get(&(loaded.model.clone(), loaded.layers)) else {
                return false;
            };
            let slots = one.slots - f64::from(engine.report.slot_count) * part;
            let has_places = slots > 0.0 && one.work / slots <= self.settings.donor_max_use;
            has_places && one.domains_without(&engine.id).len() >= self.domain_count
        })
    }
}

fn is_usable(target: &Target) -> bool {
    let is_engine = matches!(target.role, ListingRole::Engine { .. });
    is_engine && target.health == TargetHealth::Live
}
