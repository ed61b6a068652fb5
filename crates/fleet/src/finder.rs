use super::*;

/// Finds the cheapest path through the layers, as the shortest way through positions between layers.
pub(crate) struct Finder<'a> {
    pub(crate) demand: &'a Demand,
    /// Usable engines with the cost of one layer, in milliseconds.
    pub(crate) engines: Vec<(TargetKey, &'a Entry, f64)>,
    pub(crate) local_domain: &'a DomainName,
    pub(crate) now: Duration,
    pub(crate) peer_factor: f64,
    pub(crate) pipes: &'a Pipes,
    pub(crate) profile: &'a EngineProfile,
    pub(crate) settings: &'a FleetSettings,
}

/// Cheapest known way to a position whose last stage is one engine.
#[derive(Clone, Copy)]
struct Step {
    cost_ms: f64,
    engine: usize,
    /// Step before this one; none at the first layer.
    previous: Option<usize>,
    range: LayerRange,
}

impl Finder<'_> {
    /// Cheapest stages as positions in `engines` and ranges, with the cost in milliseconds.
    pub(crate) fn find(&self) -> Option<(Vec<(usize, LayerRange)>, f64)> {
        let layer_count = self.profile.layer_count;
        let positions = self.positions();
        let mut steps: Vec<Step> = Vec::new();
        // Steps that end at each position: the cheapest of each failure domain.
        let mut ends: HashMap<u32, Vec<usize>> = HashMap::new();
        for (index, start) in positions.iter().enumerate() {
            if *start == 0 && self.demand.first.is_some() {
                self.begin_fixed(&mut steps, &mut ends);
                continue;
            }
            let before = ends.get(start).cloned().unwrap_or_default();
            if *start > 0 && before.is_empty() {
                continue;
            }
            for engine in 0..self.engines.len() {
                let Some((previous, arrival_ms)) = self.arrive(engine, &steps, &before) else {
                    continue;
                };
                for end in &positions[index + 1..] {
                    let Some(range) = self.range(engine, *start, *end) else {
                        break;
                    };
                    let cost_ms = arrival_ms + f64::from(range.count()) * self.engines[engine].2;
                    let step = Step {
                        cost_ms,
                        engine,
                        previous,
                        range,
                    };
                    self.keep(step, &mut steps, ends.entry(*end).or_default());
                }
            }
        }
        let ends = ends.get(&layer_count)?.iter().copied();
        let best =
            ends.min_by(|one, other| steps[*one].cost_ms.total_cmp(&steps[*other].cost_ms))?;
        Some((trace(&steps, best), steps[best].cost_ms))
    }

    /// Begins with the stage that the request is already at.
    fn begin_fixed(&self, steps: &mut Vec<Step>, ends: &mut HashMap<u32, Vec<usize>>) {
        let Some(Stage {
            key,
            range: Some(range),
            ..
        }) = &self.demand.first
        else {
            return;
        };
        let Some(engine) = self.engines.iter().position(|(at, ..)| at == key) else {
            return;
        };
        steps.push(Step {
            cost_ms: 0.0,
            engine,
            previous: None,
            range: *range,
        });
        ends.entry(range.end).or_default().push(steps.len() - 1);
    }

    /// Positions at which a held range begins or ends, ascending.
    fn positions(&self) -> Vec<u32> {
        let mut positions = BTreeSet::from([0, self.profile.layer_count]);
        if let Some(range) = self.demand.first.as_ref().and_then(|stage| stage.range) {
            positions.insert(range.end);
        }
        for (_, entry, _) in &self.engines {
            let Some(range) = entry.target.held else {
                continue;
            };
            positions.insert(range.start);
            positions.insert(range.end);
        }
        positions.into_iter().collect()
    }

    fn range(&self, engine: usize, start: u32, end: u32) -> Option<LayerRange> {
        let held = self.engines[engine].1.target.held?;
        let range = LayerRange::new(start, end)?;
        held.covers(range).then_some(range)
    }

    /// Cheapest way to reach an engine from the steps that end where it starts.
    fn arrive(
        &self,
        engine: usize,
        steps: &[Step],
        before: &[usize],
    ) -> Option<(Option<usize>, f64)> {
        let domain = &self.engines[engine].1.target.domain;
        if before.is_empty() {
            return Some((None, self.transfer_ms(self.local_domain, domain, false)));
        }
        let mut best: Option<(Option<usize>, f64)> = None;
        for position in before {
            if trace(steps, *position)
                .iter()
                .any(|(used, _)| *used == engine)
            {
                continue;
            }
            let step = &steps[*position];
            let from = &self.engines[step.engine].1.target.domain;
            let cost_ms = step.cost_ms + self.transfer_ms(from, domain, true);
            if best.is_none_or(|(_, least_ms)| cost_ms < least_ms) {
                best = Some((Some(*position), cost_ms));
            }
        }
        best
    }

    /// Time that a hop adds to the whole answer. The last stage sends its tokens to the instance
    /// itself, and the instance sends text and not activations to the first stage.
    fn transfer_ms(&self, from: &DomainName, to: &DomainName, is_between_stages: bool) -> f64 {
        let (demand, settings) = (self.demand, self.settings);
        let mut cost_ms = settings.hop_ms * demand.answer_tokens;
        if from == to {
            return cost_ms;
        }
        cost_ms += settings.domain_change_ms * demand.answer_tokens;
        if is_between_stages {
            let pipe_mbps = self.profile.pipe_mbps.max(1.0);
            let bits = demand.tokens() * self.profile.activation_bytes * 8.0;
            let pair = (from, to);
            let factor = self
                .pipes
                .delay_factor(self.now, pair, self.peer_factor, pipe_mbps);
            cost_ms += bits / (pipe_mbps * 1_000.0) * factor;
        }
        cost_ms
    }

    /// Keeps a step if it is the cheapest of its failure domain that ends there.
    fn keep(&self, step: Step, steps: &mut Vec<Step>, ends: &mut Vec<usize>) {
        let domain = &self.engines[step.engine].1.target.domain;
        for end in ends.iter_mut() {
            if self.engines[steps[*end].engine].1.target.domain != *domain {
                continue;
            }
            if step.cost_ms < steps[*end].cost_ms {
                steps.push(step);
                *end = steps.len() - 1;
            }
            return;
        }
        steps.push(step);
        ends.push(steps.len() - 1);
    }
}

fn trace(steps: &[Step], last: usize) -> Vec<(usize, LayerRange)> {
    let mut stages = Vec::new();
    let mut position = Some(last);
    while let Some(at) = position {
        stages.push((steps[at].engine, steps[at].range));
        position = steps[at].previous;
    }
    stages.reverse();
    stages
}
