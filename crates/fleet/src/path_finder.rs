use {super::*, transfer_times::DomainIndex};

/// An engine that can be a stage of a path.
pub(crate) struct Candidate<'a> {
    /// Whether it may receive the request from this instance now.
    pub(crate) can_be_first: bool,
    pub(crate) state: &'a TargetState,
    pub(crate) held: LayerRange,
    pub(crate) key: TargetKey,
    /// Time that one layer adds to the whole answer, in milliseconds.
    pub(crate) layer_ms: f64,
    /// Part of `layer_ms` that the prefill of the prompt takes.
    pub(crate) prefill_layer_ms: f64,
}

/// Finds the cheapest path through the layers of a model: a shortest-path search over the layer
/// boundaries at which the ranges of engines begin or end.
pub(crate) struct PathFinder<'a> {
    pub(crate) candidates: Vec<Candidate<'a>>,
    pub(crate) demand: &'a Demand,
    pub(crate) local_domain: &'a DomainName,
    pub(crate) profile: &'a EngineProfile,
    pub(crate) transfer_times: TransferTimes<'a>,
}

/// Partial path that ends with one stage.
#[derive(Clone, Copy)]
struct Step {
    candidate: usize,
    cost_ms: f64,
    domain: DomainIndex,
    /// Index of the preceding step; none for the first stage.
    previous: Option<usize>,
    range: LayerRange,
}

/// Steps found so far. `ends` maps each layer boundary to the indices of the steps that end there,
/// only the cheapest one of each failure domain.
#[derive(Default)]
struct Steps {
    all: Vec<Step>,
    ends: HashMap<u32, Vec<usize>>,
}

impl PathFinder<'_> {
    /// Returns the stages of the cheapest path, as indices in `candidates` with the range that each
    /// runs, and its cost in milliseconds.
    pub(crate) fn find(&self) -> Option<(Vec<(usize, LayerRange)>, f64)> {
        let boundaries = self.boundaries();
        let mut steps = Steps::default();
        for (index, start) in boundaries.iter().enumerate() {
            if *start == 0 && self.demand.pinned_first.is_some() {
                self.begin_at_pinned_stage(&mut steps);
                continue;
            }
            let predecessors = steps.ends.get(start).cloned().unwrap_or_default();
            if *start > 0 && predecessors.is_empty() {
                continue;
            }
            self.extend(&mut steps, &predecessors, *start, &boundaries[index + 1..]);
        }
        let ends = steps.ends.get(&self.profile.layer_count)?;
        let cost_ms = |index: &usize| steps.all[*index].cost_ms;
        let best = ends
            .iter()
            .min_by(|one, other| cost_ms(one).total_cmp(&cost_ms(other)))?;
        Some((steps.stages_to(*best), cost_ms(best)))
    }

    /// Returns the shortest wait for a permit of the engines that hold the first layer but may not receive the
    /// request now; none if there is none.
    pub(crate) fn permit_wait(&self, now: Duration) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for candidate in &self.candidates {
            if candidate.can_be_first || !candidate.held.contains(0) {
                continue;
            }
            let wait = candidate.state.denial.wait(now);
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        shortest
    }

    /// Returns the expected time until the first event of an answer from these stages, in
    /// milliseconds.
    pub(crate) fn first_event_ms(&self, stages: &[(usize, LayerRange)]) -> f64 {
        let domain = |index: usize| {
            let domain = &self.candidates[index].state.target.domain;
            self.transfer_times.domain_index(domain)
        };
        let mut sum_ms = 0.0;
        let mut previous = None;
        for (index, range) in stages {
            sum_ms += f64::from(range.count()) * self.candidates[*index].prefill_layer_ms;
            let current = domain(*index);
            if let Some(last) = previous.replace(current) {
                sum_ms += self.transfer_times.transfer_ms(last, current);
            }
        }
        sum_ms
    }

    /// Adds the steps that begin at layer `start` and end at one of `ends`. `predecessors` lists the steps
    /// that end at `start`.
    fn extend(&self, steps: &mut Steps, predecessors: &[usize], start: u32, ends: &[u32]) {
        for (index, candidate) in self.candidates.iter().enumerate() {
            if !candidate.held.contains(start) || (start == 0 && !candidate.can_be_first) {
                continue;
            }
            let domain = self
                .transfer_times
                .domain_index(&candidate.state.target.domain);
            let Some((previous, arrival_ms)) =
                self.cheapest_arrival(index, domain, steps, predecessors)
            else {
                continue;
            };
            for end in ends {
                let range = LayerRange::new(start, *end);
                let Some(range) = range.filter(|range| candidate.held.covers(*range)) else {
                    break;
                };
                steps.insert_if_cheaper(Step {
                    candidate: index,
                    cost_ms: arrival_ms + f64::from(range.count()) * candidate.layer_ms,
                    domain,
                    previous,
                    range,
                });
            }
        }
    }

    /// Adds the stage that already runs the request as the first step, at no cost.
    fn begin_at_pinned_stage(&self, steps: &mut Steps) {
        let Some(Stage {
            key,
            range: Some(range),
            ..
        }) = &self.demand.pinned_first
        else {
            return;
        };
        let Some(index) = self
            .candidates
            .iter()
            .position(|candidate| candidate.key == *key)
        else {
            return;
        };
        let domain = &self.candidates[index].state.target.domain;
        steps.insert_if_cheaper(Step {
            candidate: index,
            cost_ms: 0.0,
            domain: self.transfer_times.domain_index(domain),
            previous: None,
            range: *range,
        });
    }

    /// Returns the layers at which a held range begins or ends, in ascending order.
    fn boundaries(&self) -> Vec<u32> {
        let mut boundaries = BTreeSet::from([0, self.profile.layer_count]);
        if let Some(range) = self
            .demand
            .pinned_first
            .as_ref()
            .and_then(|stage| stage.range)
        {
            boundaries.insert(range.end);
        }
        for candidate in &self.candidates {
            boundaries.insert(candidate.held.start);
            boundaries.insert(candidate.held.end);
        }
        boundaries.into_iter().collect()
    }

    /// Returns the step from which an engine is reached at the lowest cost, and this cost in
    /// milliseconds. The step is none for the first stage; a step whose path already uses the engine is
    /// skipped.
    fn cheapest_arrival(
        &self,
        candidate: usize,
        domain: DomainIndex,
        steps: &Steps,
        predecessors: &[usize],
    ) -> Option<(Option<usize>, f64)> {
        if predecessors.is_empty() {
            let local_domain = self.transfer_times.domain_index(self.local_domain);
            return Some((None, self.transfer_times.first_hop_ms(local_domain, domain)));
        }
        let mut best: Option<(Option<usize>, f64)> = None;
        for index in predecessors {
            let step = &steps.all[*index];
            let cost_ms = step.cost_ms + self.transfer_times.stage_hop_ms(step.domain, domain);
            let is_better = best.is_none_or(|(_, best_ms)| cost_ms < best_ms);
            if is_better && !steps.uses(*index, candidate) {
                best = Some((Some(*index), cost_ms));
            }
        }
        best
    }
}

impl Steps {
    /// Adds a step if it is the cheapest of its failure domain that ends at its boundary.
    fn insert_if_cheaper(&mut self, step: Step) {
        let ends = self.ends.entry(step.range.end).or_default();
        let existing = ends
            .iter_mut()
            .find(|end| self.all[**end].domain == step.domain);
        match existing {
            None => ends.push(self.all.len()),
            Some(end) if step.cost_ms < self.all[*end].cost_ms => *end = self.all.len(),
            Some(_) => return,
        }
        self.all.push(step);
    }

    /// Whether the path that ends with step `last` uses a candidate.
    fn uses(&self, last: usize, candidate: usize) -> bool {
        let mut next = Some(last);
        while let Some(step) = next {
            if self.all[step].candidate == candidate {
                return true;
            }
            next = self.all[step].previous;
        }
        false
    }

    /// Returns the stages of the path that ends with step `last`.
    fn stages_to(&self, last: usize) -> Vec<(usize, LayerRange)> {
        let mut stages = Vec::new();
        let mut next = Some(last);
        while let Some(step) = next {
            stages.push((self.all[step].candidate, self.all[step].range));
            next = self.all[step].previous;
        }
        stages.reverse();
        stages
    }
}
