use super::*;

/// Time for instances to learn of each other and of all targets before demand begins.
pub(crate) const WARM_UP: Duration = Duration::from_secs(15);

/// One run of a scenario under a policy.
pub(crate) struct Run {
    pub(crate) demand: Box<Demand>,
    pub(crate) faults: Vec<(Duration, Fault)>,
    pub(crate) kind: PolicyKind,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    /// Length of the demand, after the warm-up.
    pub(crate) span: Duration,
}

impl Run {
    /// Steady demand that keeps `load` of all slots busy for `span`.
    pub(crate) fn steady(
        scenario: &Scenario,
        kind: PolicyKind,
        seed: u64,
        load: f64,
        span: Duration,
    ) -> Self {
        let rate_per_s = scenario.prompts_per_s(load);
        Self {
            demand: Box::new(move |_| rate_per_s),
            faults: Vec::new(),
            kind,
            scenario: scenario.clone(),
            seed,
            span,
        }
    }

    /// Runs until every request has ended or passed its deadline.
    pub(crate) fn finish(self) -> Result<World> {
        let mut world = self.start()?;
        let end = WARM_UP + self.span + DEADLINE;
        world.run(end);
        for arrival in 0..world.arrivals.len() {
            let unfinished = End {
                complete: false,
                first_after: None,
            };
            world.results.ends.entry(arrival).or_insert(unfinished);
        }
        Ok(world)
    }

    /// Prepares the run without letting time pass.
    pub(crate) fn start(&self) -> Result<World> {
        let mut world = World::new(self.scenario.clone(), self.kind, self.seed)?;
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5EED);
        let end = WARM_UP + self.span;
        let arrivals = draw(&self.scenario, &self.demand, WARM_UP, end, &mut random);
        world.add_arrivals(arrivals);
        for (at, fault) in &self.faults {
            world.schedule(*at, Occurrence::Fault(fault.clone()));
        }
        Ok(world)
    }
}

/// Waits for the first token of short prompts, or of long ones.
pub(crate) fn waits(world: &World, long: bool) -> Vec<Option<Duration>> {
    let mut waits = Vec::new();
    for (index, arrival) in world.arrivals.iter().enumerate() {
        let Work::Prompt { is_long, .. } = arrival.work else {
            continue;
        };
        if is_long == long {
            waits.push(
                world
                    .results
                    .ends
                    .get(&index)
                    .and_then(|end| end.first_after),
            );
        }
    }
    waits
}

/// Share of arrivals within a span that `wanted` selects and that were served whole.
pub(crate) fn served_share(
    world: &World,
    from: Duration,
    to: Duration,
    within: Duration,
    wanted: impl Fn(&Arrival) -> bool,
) -> f64 {
    let (mut served, mut total) = (0_u32, 0_u32);
    for (index, arrival) in world.arrivals.iter().enumerate() {
        if arrival.at < from || arrival.at >= to || !wanted(arrival) {
            continue;
        }
        total += 1;
        let Some(end) = world.results.ends.get(&index) else {
            continue;
        };
        let in_time = end.first_after.is_some_and(|after| after <= within);
        served += u32::from(end.complete && in_time);
    }
    f64::from(served) / f64::from(total.max(1))
}
