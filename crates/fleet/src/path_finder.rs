use {super::*, transfer_times::DomainIndex};

/// An engine that may take a part of a path.
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a TargetState,
    pub(crate) held: LayerRange,
    pub(crate) key: TargetKey,
    /// Time of one layer, in milliseconds.
    pub(crate) layer_ms: f64,
    /// Part of it until the prompt is read.
    pub(crate) prefill_layer_ms: f64,
}

/// Finds the cheapest path through the layers, as the shortest way through positions between layers.
pub(crate) struct PathFinder<'a> {
    pub(crate) candidates: Vec<Candidate<'a>>,
    pub(crate) demand: &'a Demand,
    pub(crate) local_domain: &'a DomainName,
    pub(crate) profile: &'a EngineProfile,
    pub(crate) transfer_times: TransferTimes<'a>,
}

/// Cheapest known way to a position whose last stage is one engine.
#[derive(Clone, Copy)]
struct Step {
    candidate: usize,
    cost_ms: f64,
    domain: DomainIndex,
    /// Step before this one; none at the first layer.
    previous: Option<usize>,
    range: LayerRange,
}

/// Steps so far, and those that end at each position: the cheapest of each failure domain.
#[derive(Default)]
struct Steps {
    all: Vec<Step>,
    ends: HashMap<u32, Vec<usize>>,
}

impl PathFinder<'_> {
    /// Cheapest stages as positions in `candidates` and ranges, with the cost in milliseconds.
    pub(crate) fn find(&self) -> Option<(Vec<(usize, LayerRange)>, f64)> {
        let boundaries = self.boundaries();
        let mut steps = Steps::default();
        for (index, start) in boundaries.iter().enumerate() {
            if *start == 0 && self.demand.first.is_some() {
                self.begin_at_pinned_stage(&mut steps);
                continue;
            }
            let before = steps.ends.get(start).cloned().unwrap_or_default();
            if *start > 0 && before.is_empty() {
                continue;
            }
            self.extend(&mut steps, &before, *start, &boundaries[index + 1..]);
        }
        let ends = steps.ends.get(&self.profile.layer_count)?;
        let cost_ms = |at: &usize| steps.all[*at].cost_ms;
        let best = ends
            .iter()
            .min_by(|one, other| cost_ms(one).total_cmp(&cost_ms(other)))?;
        Some((steps.stages_to(*best), cost_ms(best)))
    }

    /// Expected time until the first event of an answer along these stages, in milliseconds.
    pub(crate) fn first_event_ms(&self, stages: &[(usize, LayerRange)]) -> f64 {
        let domain = |at: usize| {
            let domain = &self.candidates[at].entry.target.domain;
            self.transfer_times.domain_index(domain)
        };
        let mut sum_ms = 0.0;
        let mut previous = None;
        for (at, range) in stages {
            sum_ms += f64::from(range.count()) * self.candidates[*at].prefill_layer_ms;
            let here = domain(*at);
            if let Some(before) = previous.replace(here) {
                sum_ms += self.transfer_times.transfer_ms(before, here);
            }
        }
        sum_ms
    }

    /// Adds the steps that begin at `start` and end at one of `ends`.
    fn extend(&self, steps: &mut Steps, before: &[usize], start: u32, ends: &[u32]) {
        for (at, candidate) in self.candidates.iter().enumerate() {
            if !candidate.held.contains(start) {
                continue;
            }
            let domain = self
                .transfer_times
                .domain_index(&candidate.entry.target.domain);
            let Some((previous, arrival_ms)) = self.cheapest_arrival(at, domain, steps, before)
            else {
                continue;
            };
            for end in ends {
                let range = LayerRange::new(start, *end);
                let Some(range) = range.filter(|range| candidate.held.covers(*range)) else {
                    break;
                };
                steps.insert_if_cheaper(Step {
                    candidate: at,
                    cost_ms: arrival_ms + f64::from(range.count()) * candidate.layer_ms,
                    domain,
                    previous,
                    range,
                });
            }
        }
    }

    /// Begins with the stage that the request is already at.
    fn begin_at_pinned_stage(&self, steps: &mut Steps) {
        let Some(Stage {
            key,
            range: Some(range),
            ..
        }) = &self.demand.first
        else {
            return;
        };
        let Some(at) = self.candidates.iter().position(|one| one.key == *key) else {
            return;
        };
        let domain = &self.candidates[at].entry.target.domain;
        steps.insert_if_cheaper(Step {
            candidate: at,
            cost_ms: 0.0,
            domain: self.transfer_times.domain_index(domain),
            previous: None,
            range: *range,
        });
    }

    /// Positions at which a held range begins or ends, ascending.
    fn boundaries(&self) -> Vec<u32> {
        let mut boundaries = BTreeSet::from([0, self.profile.layer_count]);
        if let Some(range) = self.demand.first.as_ref().and_then(|stage| stage.range) {
            boundaries.insert(range.end);
        }
        for candidate in &self.candidates {
            boundaries.insert(candidate.held.start);
            boundaries.insert(candidate.held.end);
        }
        boundaries.into_iter().collect()
    }

    /// Cheapest way to reach an engine from the steps that end where it starts.
    fn cheapest_arrival(
        &self,
        candidate: usize,
        domain: DomainIndex,
        steps: &Steps,
        before: &[usize],
    ) -> Option<(Option<usize>, f64)> {
        if before.is_empty() {
            let local_domain = self.transfer_times.domain_index(self.local_domain);
            return Some((None, self.transfer_times.first_hop_ms(local_domain, domain)));
        }
        let mut best: Option<(Option<usize>, f64)> = None;
        for position in before {
            let step = &steps.all[*position];
            let cost_ms = step.cost_ms + self.transfer_times.stage_hop_ms(step.domain, domain);
            let is_better = best.is_none_or(|(_, least_ms)| cost_ms < least_ms);
            if is_better && !steps.uses(*position, candidate) {
                best = Some((Some(*position), cost_ms));
            }
        }
        best
    }
}

impl Steps {
    /// Keeps a step if it is the cheapest of its failure domain that ends there.
    fn insert_if_cheaper(&mut self, step: Step) {
        let ends = self.ends.entry(step.range.end).or_default();
        let known = ends
            .iter_mut()
            .find(|end| self.all[**end].domain == step.domain);
        match known {
            None => ends.push(self.all.len()),
            Some(end) if step.cost_ms < self.all[*end].cost_ms => *end = self.all.len(),
            Some(_) => return,
        }
        self.all.push(step);
    }

    /// Whether the way to a step goes through a candidate.
    fn uses(&self, last: usize, candidate: usize) -> bool {
        let mut position = Some(last);
        while let Some(at) = position {
            if self.all[at].candidate == candidate {
                return true;
            }
            position = self.all[at].previous;
        }
        false
    }

    fn stages_to(&self, last: usize) -> Vec<(usize, LayerRange)> {
        let mut stages = Vec::new();
        let mut position = Some(last);
        while let Some(at) = position {
            stages.push((self.all[at].candidate, self.all[at].range));
            position = self.all[at].previous;
        }
        stages.reverse();
        stages
    }
}
