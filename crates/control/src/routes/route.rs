use super::*;

/// A chosen route with the numbers behind it.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Candidates that were weighed and not chosen, best first within each stage.
    pub alternatives: Vec<Candidate>,
    /// Chosen candidates in the order of the route.
    pub chosen: Vec<Candidate>,
    /// Route.
    pub route: Route,
    /// Expected time of one token over the route, in milliseconds.
    pub token_ms: f64,
}

/// Chooses routes, and learns speeds, links and caches for it.
#[derive(Clone, Debug)]
pub struct Router {
    /// Prefix caches of engines.
    pub caches: PrefixCaches,
    /// Links between targets.
    pub links: Links,
    /// Speeds of accelerator kinds and services.
    pub rates: Rates,
    settings: RouteSettings,
    short_slot_fraction: f64,
    /// Own work at targets.
    pub slots: Slots,
    target_queue_count: u32,
}

/// One target in the place of one stage.
pub(crate) struct StageCandidate<'a> {
    pub(crate) layer_count: u32,
    pub(crate) layers: LayerRange,
    pub(crate) own: Score,
    pub(crate) target: &'a Target,
    /// Score from here to the end of the route, `own` included.
    pub(crate) to_go: Score,
}

/// Which targets are weighed, and how.
#[derive(Clone, Copy)]
struct Scan {
    /// Whether work at the targets counts.
    counts_load: bool,
    /// Requests that may wait at a target beyond its slots; fuller targets are left out. All
    /// targets are weighed if it is not set.
    queue_count: Option<u32>,
    /// Whether suspect targets are weighed too.
    with_suspects: bool,
}

impl Router {
    /// Creates a router that has observed nothing.
    #[must_use]
    pub fn new(settings: RouteSettings, admission: &AdmissionSettings) -> Self {
        Self {
            caches: PrefixCaches::default(),
            links: Links::default(),
            rates: Rates::default(),
            settings,
            short_slot_fraction: admission.short_slot_fraction,
            slots: Slots::default(),
            target_queue_count: admission.target_queue_count,
        }
    }

    /// Chooses a complete route with a free place at every stage.
    ///
    /// # Errors
    ///
    /// Returns `Blocked::Full` when targets would do but have no place, and `Blocked::NoTarget`
    /// when they do not make up a route.
    pub fn choose(
        &self,
        view: &View,
        query: &RouteQuery,
        random: &mut ChaCha8Rng,
    ) -> Result<Choice, Blocked> {
        // Suspect targets get work only if the others make up no route; full ones are waited for.
        for with_suspects in [false, true] {
            let mut scan = Scan {
                counts_load: true,
                queue_count: Some(0),
                with_suspects,
            };
            let queue_count = self.target_queue_count;
            for queue_count in BTreeSet::from([0, queue_count]) {
                scan.queue_count = Some(queue_count);
                let stage_candidates = self.stage_candidates(view, query, scan);
                if let Some(choice) = self.draw_route(view, query, &stage_candidates, random) {
                    return Ok(choice);
                }
            }
            scan.queue_count = None;
            if !self.stage_candidates(view, query, scan).is_empty() {
                return Err(Blocked::Full);
            }
        }
        Err(Blocked::NoTarget)
    }

    /// Expected time of the best route, full or not, in milliseconds, without waiting for a place
    /// and without the work of others, whose effect is in the observed speeds.
    #[must_use]
    pub fn best(&self, view: &View, query: &RouteQuery) -> Option<f64> {
        let stage_candidates = self.stage_candidates(
            view,
            query,
            Scan {
                counts_load: false,
                queue_count: None,
                with_suspects: true,
            },
        );
        let first = stage_candidates
            .iter()
            .filter(|stage_candidate| stage_candidate.layers.start == 0);
        let best = first
            .map(|stage_candidate| stage_candidate.to_go)
            .min_by(Score::compare)?;
        (best != Score::MAX).then_some(best.expected_ms)
    }

    /// Requests that all targets for a resource can run at once: the slots at the layer range
    /// with the fewest.
    #[must_use]
    pub fn slot_count(&self, view: &View, resource: &Resource) -> f64 {
        let mut by_start: BTreeMap<u32, f64> = BTreeMap::new();
        for target in view.targets {
            if !target.takes_work() {
                continue;
            }
            for (layers, _) in resource.layer_ranges(target) {
                *by_start.entry(layers.start).or_default() += f64::from(target.report.slot_count);
            }
        }
        by_start
            .values()
            .copied()
            .reduce(f64::min)
            .unwrap_or_default()
    }

    /// Targets that are part of a complete route, once per layer range; empty if there is none.
    fn stage_candidates<'a>(
        &self,
        view: &View<'a>,
        query: &RouteQuery,
        scan: Scan,
    ) -> Vec<StageCandidate<'a>> {
        let mut stage_candidates = Vec::new();
        for target in view.targets {
            if target.health == TargetHealth::Suspect && !scan.with_suspects {
                continue;
            }
            if !target.takes_work() || target.report.leaving || target.report.slot_count == 0 {
                continue;
            }
            if let Some(queue_count) = scan.queue_count
                && !self.has_place(view, query, target, queue_count)
            {
                continue;
            }
            let load = if scan.counts_load {
                self.slots.load(view.now, target, view.factor)
            } else {
                0.0
            };
            for (layers, layer_count) in query.resource.layer_ranges(target) {
                stage_candidates.push(StageCandidate {
                    layer_count,
                    layers,
                    own: self.own_score(view, query, target, load, (layers, layer_count)),
                    target,
                    to_go: Score::MAX,
                });
            }
        }
        stage_candidates.sort_by_key(|stage_candidate| Reverse(stage_candidate.layers.start));
        self.fill_to_go(view, query, &mut stage_candidates);
        stage_candidates.retain(|stage_candidate| stage_candidate.to_go != Score::MAX);
        if stage_candidates
            .iter()
            .all(|stage_candidate| stage_candidate.layers.start > 0)
        {
            stage_candidates.clear();
        }
        stage_candidates
    }

    /// Computes the best score to the end from each stage_candidate, last layers first: the shortest path
    /// over all complete chains.
    fn fill_to_go(&self, view: &View, query: &RouteQuery, stage_candidates: &mut [StageCandidate]) {
        for index in 0..stage_candidates.len() {
            let (later, rest) = stage_candidates.split_at_mut(index);
            let stage_candidate = &mut rest[0];
            if stage_candidate.layers.end == stage_candidate.layer_count {
                stage_candidate.to_go = stage_candidate.own;
                continue;
            }
            let mut best = Score::MAX;
            for next in later.iter() {
                if next.layers.start != stage_candidate.layers.end
                    || next.layer_count != stage_candidate.layer_count
                {
                    continue;
                }
                if next.to_go == Score::MAX {
                    continue;
                }
                let link = self.link(view, query, Some(stage_candidate.target), next.target);
                let total = link.plus(&next.to_go);
                if total.compare(&best).is_lt() {
                    best = total;
                }
            }
            if best != Score::MAX {
                stage_candidate.to_go = stage_candidate.own.plus(&best);
            }
        }
    }

    fn has_place(
        &self,
        view: &View,
        query: &RouteQuery,
        target: &Target,
        queue_count: u32,
    ) -> bool {
        if query.is_suspect && self.slots.has_suspect(&target.id) {
            return false;
        }
        let slots = f64::from(target.report.slot_count);
        let ramped = (slots * target.ramp_fraction).ceil();
        // Below four slots a kept place would take too much from long work.
        let kept = if query.is_short || slots < 4.0 {
            0.0
        } else {
            (slots * self.short_slot_fraction).ceil()
        };
        // Long work in an engine's queue would take the places that are kept for short work.
        let queued = if query.is_short { queue_count } else { 0 };
        let limit = (ramped - kept).max(1.0) + f64::from(queued);
        let instance = &view.identity.instance;
        self.slots
            .has_place(view.now, target, view.factor, limit, instance)
    }

    pub(crate) fn link(
        &self,
        view: &View,
        query: &RouteQuery,
        from: Option<&Target>,
        to: &Target,
    ) -> Score {
        let token_ms = match from {
            None => default_ms(
                (&view.identity.failure_domain, &view.identity.region),
                (&to.failure_domain, &to.region),
                &self.settings,
            ),
            Some(from) => self.links.cost_ms(view.now, from, to, &self.settings),
        };
        Score {
            avoidance: 0,
            expected_ms: token_ms * query.answer_tokens.max(1.0),
        }
    }

    fn own_score(
        &self,
        view: &View,
        query: &RouteQuery,
        target: &Target,
        load: f64,
        (layers, layer_count): (LayerRange, u32),
    ) -> Score {
        let step_ms = self.step_ms(target, layers, layer_count);
        let busy = load / f64::from(target.report.slot_count.max(1));
        let answer_ms = step_ms * query.answer_tokens.max(1.0);
        let wait_ms = busy * answer_ms;
        let prefill_ms = step_ms * f64::from(query.prompt_tokens) / self.settings.prefill_speedup;
        let half_life = Duration::from_millis(self.settings.cache_half_life_ms);
        let saved = self
            .caches
            .saved_fraction(view.now, &target.id, query.prefix_hashes, half_life)
            // A busy engine evicts soon, and affinity must not pile work on one engine.
            * (1.0 - busy).max(0.0);
        Score {
            avoidance: query.avoidance(target),
            expected_ms: wait_ms + prefill_ms * (1.0 - saved) + answer_ms,
        }
    }

    pub(crate) fn step_ms(&self, target: &Target, layers: LayerRange, layer_count: u32) -> f64 {
        let held = layers.end.saturating_sub(layers.start);
        let default_rate = self.settings.default_rate_per_s;
        self.rates.step_ms(target, held, layer_count, default_rate)
    }
}
