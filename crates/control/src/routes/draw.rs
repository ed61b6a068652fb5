use super::*;

/// Candidates with an expected time of at most this multiple of the best one count as near-best,
/// and a target is drawn among them. The range must be wide enough that instances with the same
/// view spread their requests over several targets.
const NEAR_BEST_FACTOR: f64 = 1.5;

/// Margin that is added to the near-best limit, in milliseconds: smaller differences are noise.
const NEAR_BEST_MARGIN_MS: f64 = 5.0;

/// Maximum number of rejected candidates that are logged per stage.
const MAX_LOGGED_ALTERNATIVES: usize = 8;

/// Weight of idle time relative to waiting time. Of 1, 4, 8, 16 and 32, throughput under overload
/// increased up to 8.
const SPEED_MISMATCH_WEIGHT: f64 = 8.0;

impl Router {
    pub(crate) fn draw_route(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        stage_candidates: &[StageCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<RouteChoice> {
        let mut choice = RouteChoice {
            alternatives: Vec::new(),
            chosen: Vec::new(),
            route: Route {
                layer_count: 0,
                stages: Vec::new(),
            },
            token_ms: 0.0,
        };
        let mut previous: Option<&StageCandidate> = None;
        while previous
            .is_none_or(|stage_candidate| stage_candidate.layers.end < stage_candidate.layer_count)
        {
            let mut scored = Vec::new();
            for stage_candidate in stage_candidates {
                let is_next = previous.map_or(stage_candidate.layers.start == 0, |previous| {
                    stage_candidate.layers.start == previous.layers.end
                        && stage_candidate.layer_count == previous.layer_count
                });
                if is_next {
                    let from = previous.map(|previous| previous.target);
                    let link = self.link_score(view, query, from, stage_candidate.target);
                    let mut total = link.plus(&stage_candidate.score_to_end);
                    total.expected_ms +=
                        self.speed_mismatch_ms(view, query, previous, stage_candidate);
                    scored.push((total, link, stage_candidate));
                }
            }
            let (link, stage_candidate) = draw(&mut scored, &mut choice, random)?;
            choice.token_ms += link.expected_ms / query.answer_tokens.max(1.0);
            choice.token_ms += self.step_ms(
                stage_candidate.target,
                stage_candidate.layers,
                stage_candidate.layer_count,
            );
            choice.route.layer_count = stage_candidate.layer_count;
            choice.route.stages.push(Stage {
                address: stage_candidate.target.address,
                layers: stage_candidate.layers,
                target: stage_candidate.target.id.clone(),
            });
            previous = Some(stage_candidate);
        }
        Some(choice)
    }

    /// Cost of a speed difference between consecutive stages, in milliseconds: a slot of the faster
    /// engine idles while the slower one works. The cost is scaled by the load of the next engine,
    /// because an idle slot only matters if other requests could use it.
    fn speed_mismatch_ms(
        &self,
        view: &RoutingView,
        query: &RouteQuery,
        previous: Option<&StageCandidate>,
        next: &StageCandidate,
    ) -> f64 {
        let Some(previous) = previous else {
            return 0.0;
        };
        let step_ms = |stage_candidate: &StageCandidate| {
            self.step_ms(
                stage_candidate.target,
                stage_candidate.layers,
                stage_candidate.layer_count,
            )
        };
        let idle_ms = (step_ms(previous) - step_ms(next)).abs() * query.answer_tokens.max(1.0);
        let load = self
            .load_estimator
            .load(view.now, next.target, view.sharing_factor);
        SPEED_MISMATCH_WEIGHT * idle_ms * load / f64::from(next.target.report.slot_count.max(1))
    }
}

/// Draws two near-best candidates at random and takes the better one. Adds it to the chosen
/// candidates of `choice`, and the best of the others to its alternatives.
fn draw<'a, 'b>(
    scored: &mut [(Score, Score, &'a StageCandidate<'b>)],
    choice: &mut RouteChoice,
    random: &mut ChaCha8Rng,
) -> Option<(Score, &'a StageCandidate<'b>)> {
    // Shuffles before the stable sort, so that ties, as between idle targets, are not always won
    // by the first candidate.
    for index in (1..scored.len()).rev() {
        scored.swap(index, random.random_range(0..=index));
    }
    scored.sort_by(|left, right| left.0.compare(&right.0));
    let best = scored.first()?.0;
    let limit_ms = best.expected_ms * NEAR_BEST_FACTOR + NEAR_BEST_MARGIN_MS;
    let near_best_count = scored
        .iter()
        .filter(|(score, ..)| score.avoidance == best.avoidance && score.expected_ms <= limit_ms)
        .count();
    // Draws with replacement, so that the worse of two targets gets some requests too; without
    // it, all instances would pick the same better one. The candidates are sorted, so the lower
    // index is the better.
    let first = random.random_range(0..near_best_count);
    let index = first.min(random.random_range(0..near_best_count));
    for (position, (score, _, stage_candidate)) in scored.iter().enumerate() {
        let candidate = Candidate {
            score_ms: score.expected_ms,
            target: stage_candidate.target.id.clone(),
        };
        if position == index {
            choice.chosen.push(candidate);
        } else if position <= MAX_LOGGED_ALTERNATIVES {
            choice.alternatives.push(candidate);
        }
    }
    let (_, link, stage_candidate) = &scored[index];
    Some((*link, stage_candidate))
}
