use super::*;

/// A chosen route with the scores behind it.
#[derive(Clone, Debug)]
pub struct RouteChoice {
    /// Candidates that were considered and not chosen, best first within each stage.
    pub alternatives: Vec<Candidate>,
    /// Chosen candidates with their scores, in the order of the route.
    pub chosen: Vec<Candidate>,
    /// Targets and layer ranges that run the request, first stage first.
    pub route: Route,
    /// Expected time of one token over the whole route, in milliseconds.
    pub token_ms: f64,
}

/// Chooses routes by the observed speeds, link costs, prefix caches and load.
#[derive(Clone, Debug)]
pub struct Router {
    /// Estimated content of the engines' prefix caches.
    pub caches: PrefixCaches,
    /// Estimated cost of the links between targets.
    pub links: LinkCosts,
    /// Observed speed per accelerator kind and service.
    pub rates: LayerRates,
    settings: RouteSettings,
    short_slot_fraction: f64,
    /// Estimated load of the targets.
    pub load_estimator: LoadEstimator,
    target_queue_count: u32,
}

/// A target that could run one stage of a route.
pub(crate) struct StageCandidate<'a> {
    pub(crate) layer_count: u32,
    pub(crate) layers: LayerRange,
    pub(crate) stage_score: Score,
    pub(crate) target: &'a Target,
    /// Best score from this stage, included, to the end of the route; `Score::MAX` if no chain of
    /// candidates reaches the end.
    pub(crate) score_to_end: Score,
}

/// Which targets are considered for a route, and whether their load counts.
#[derive(Clone, Copy)]
struct CandidateFilter {
    /// Whether the expected wait at a target is part of its score.
    counts_load: bool,
    /// Number of requests that may wait at a target beyond its slots; targets without that much
    /// capacity are left out. If none, full targets are considered too.
    queue_count: Option<u32>,
    /// Whether suspect targets are considered too.
    includes_suspects: bool,
}

impl Router {
    /// Creates a router without observations.
    #[must_use]
    pub fn new(settings: RouteSettings, admission: &AdmissionSettings) -> Self {
        Self {
            caches: PrefixCaches::default(),
            links: LinkCosts::default(),
            rates: LayerRates::default(),
            settings,
            short_slot_fraction: admission.short_slot_fraction,
            load_estimator: LoadEstimator::default(),
            target_queue_count: admission.target_queue_count,
        }
    }

    /// Chooses a complete route with capacity at every stage.
    ///
    /// # Errors
    ///
    /// Returns `NoRoute::Full` if a route exists but its targets have no capacity, and
    /// `NoRoute::NoTarget` if the targets do not form a complete route.
    pub fn choose(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        random: &mut ChaCha8Rng,
    ) -> Result<RouteChoice, NoRoute> {
        // Suspect targets are used only if the others form no route. If a route without suspect
        // targets is merely full, the request waits for it instead.
        for includes_suspects in [false, true] {
            let mut filter = CandidateFilter {
                counts_load: true,
                queue_count: Some(0),
                includes_suspects,
            };
            let queue_count = self.target_queue_count;
            for queue_count in BTreeSet::from([0, queue_count]) {
                filter.queue_count = Some(queue_count);
                let stage_candidates = self.stage_candidates(view, query, filter);
                if let Some(choice) = self.draw_route(view, query, &stage_candidates, random) {
                    return Ok(choice);
                }
            }
            filter.queue_count = None;
            if !self.stage_candidates(view, query, filter).is_empty() {
                return Err(NoRoute::Full);
            }
        }
        Err(NoRoute::NoTarget)
    }

    /// Expected time of the fastest route, full or not, in milliseconds; none if no route exists.
    /// Neither waiting for a slot nor the load of the targets is included: concurrent requests
    /// already lower the observed speeds.
    #[must_use]
    pub fn best_expected_ms(&self, view: &RoutingView, query: &RouteQuery) -> Option<f64> {
        let stage_candidates = self.stage_candidates(
            view,
            query,
            CandidateFilter {
                counts_load: false,
                queue_count: None,
                includes_suspects: true,
            },
        );
        let first = stage_candidates
            .iter()
            .filter(|stage_candidate| stage_candidate.layers.start == 0);
        let best = first
            .map(|stage_candidate| stage_candidate.score_to_end)
            .min_by(Score::compare)?;
        (best != Score::MAX).then_some(best.expected_ms)
    }

    /// Number of requests that the targets of a resource can run at once: the total slots of the
    /// layer range that has the fewest. Ranges are told apart by their first layer.
    #[must_use]
    pub fn slot_count(&self, view: &RoutingView, resource: &Resource) -> f64 {
        let mut by_start: BTreeMap<u32, f64> = BTreeMap::new();
        for target in view.targets {
            if !target.accepts_work() {
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

    /// Targets that are part of a complete route, one candidate per layer range, last layers
    /// first; empty if there is no complete route.
    fn stage_candidates<'a>(
        &self,
        view: &RoutingView<'a>,
        query: &RouteQuery,
        filter: CandidateFilter,
    ) -> Vec<StageCandidate<'a>> {
        let mut stage_candidates = Vec::new();
        for target in view.targets {
            if target.health == TargetHealth::Suspect && !filter.includes_suspects {
                continue;
            }
            if !target.accepts_work() || target.report.leaving || target.report.slot_count == 0 {
                continue;
            }
            if let Some(queue_count) = filter.queue_count
                && !self.has_capacity(view, query, target, queue_count)
            {
                continue;
            }
            let load = if filter.counts_load {
                self.load_estimator
                    .load(view.now, target, view.sharing_factor)
            } else {
                0.0
            };
            for (layers, layer_count) in query.resource.layer_ranges(target) {
                stage_candidates.push(StageCandidate {
                    layer_count,
                    layers,
                    stage_score: self.stage_score(view, query, target, load, (layers, layer_count)),
                    target,
                    score_to_end: Score::MAX,
                });
            }
        }
        stage_candidates.sort_by_key(|stage_candidate| Reverse(stage_candidate.layers.start));
        self.compute_scores_to_end(view, query, &mut stage_candidates);
        stage_candidates.retain(|stage_candidate| stage_candidate.score_to_end != Score::MAX);
        if stage_candidates
            .iter()
            .all(|stage_candidate| stage_candidate.layers.start > 0)
        {
            stage_candidates.clear();
        }
        stage_candidates
    }

    /// Computes the best score from each candidate to the end of the route: the shortest path over
    /// all complete chains. The candidates must be sorted by layer, last layers first.
    fn compute_scores_to_end(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        stage_candidates: &mut [StageCandidate],
    ) {
        for index in 0..stage_candidates.len() {
            let (later, rest) = stage_candidates.split_at_mut(index);
            let stage_candidate = &mut rest[0];
            if stage_candidate.layers.end == stage_candidate.layer_count {
                stage_candidate.score_to_end = stage_candidate.stage_score;
                continue;
            }
            let mut best = Score::MAX;
            for next in later.iter() {
                if next.layers.start != stage_candidate.layers.end
                    || next.layer_count != stage_candidate.layer_count
                {
                    continue;
                }
                if next.score_to_end == Score::MAX {
                    continue;
                }
                let link = self.link_score(view, query, Some(stage_candidate.target), next.target);
                let total = link.plus(&next.score_to_end);
                if total.compare(&best).is_lt() {
                    best = total;
                }
            }
            if best != Score::MAX {
                stage_candidate.score_to_end = stage_candidate.stage_score.plus(&best);
            }
        }
    }

    fn has_capacity(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        target: &Target,
        queue_count: u32,
    ) -> bool {
        if query.is_suspect && self.load_estimator.has_suspect(&target.id) {
            return false;
        }
        let slots = f64::from(target.report.slot_count);
        let ramped = (slots * target.ramp_fraction).ceil();
        // With fewer than four slots, one reserved slot would take too much from long requests.
        let reserved = if query.is_short || slots < 4.0 {
            0.0
        } else {
            (slots * self.short_slot_fraction).ceil()
        };
        // Long requests in an engine's queue would take the slots that are reserved for short ones.
        let queued = if query.is_short { queue_count } else { 0 };
        let limit = (ramped - reserved).max(1.0) + f64::from(queued);
        let instance = &view.identity.instance;
        self.load_estimator
            .has_capacity(view.now, target, view.sharing_factor, limit, instance)
    }

    pub(crate) fn link_score(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        from: Option<&Target>,
        to: &Target,
    ) -> Score {
        let token_ms = match from {
            None => default_link_ms(
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

    fn stage_score(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        target: &Target,
        load: f64,
        (layers, layer_count): (LayerRange, u32),
    ) -> Score {
        let step_ms = self.step_ms(target, layers, layer_count);
        let utilization = load / f64::from(target.report.slot_count.max(1));
        let answer_ms = step_ms * query.answer_tokens.max(1.0);
        let wait_ms = utilization * answer_ms;
        let prefill_ms = step_ms * f64::from(query.prompt_tokens) / self.settings.prefill_speedup;
        let half_life = Duration::from_millis(self.settings.cache_half_life_ms);
        let cached = self
            .caches
            .cached_fraction(view.now, &target.id, query.prefix_hashes, half_life)
            // A busy engine evicts prefixes soon, and cache affinity must not overload one engine.
            * (1.0 - utilization).max(0.0);
        Score {
            avoidance: query.avoidance(target),
            expected_ms: wait_ms + prefill_ms * (1.0 - cached) + answer_ms,
        }
    }

    pub(crate) fn step_ms(&self, target: &Target, layers: LayerRange, layer_count: u32) -> f64 {
        let stage_layers = layers.end.saturating_sub(layers.start);
        let default_rate = self.settings.default_rate_per_s;
        self.rates
            .step_ms(target, stage_layers, layer_count, default_rate)
    }
}
