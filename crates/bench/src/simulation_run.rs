use super::*;

/// Time before the demand starts in which instances discover each other and all targets.
pub(crate) const WARM_UP: Duration = Duration::from_secs(15);

/// Parameters of one simulation run.
pub(crate) struct SimulationRun {
    pub(crate) demand: Box<DemandRate>,
    /// Faults to inject, with the time of each.
    pub(crate) faults: Vec<(Duration, Fault)>,
    pub(crate) kind: PolicyKind,
    pub(crate) scenario: Scenario,
    pub(crate) seed: u64,
    /// Duration of the demand, which starts after the warm-up.
    pub(crate) span: Duration,
}

impl SimulationRun {
    /// Run with constant demand that keeps a share of `load` of all slots busy for `span`.
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

    /// Runs until every request has ended or passed its deadline. Requests that have not ended
    /// count as incomplete.
    pub(crate) fn run_to_end(self) -> Result<Simulation> {
        let mut simulation = self.prepare()?;
        let end = WARM_UP + self.span + DEADLINE;
        simulation.run(end);
        for arrival_index in 0..simulation.arrivals.len() {
            let unfinished = RequestEnd {
                complete: false,
                first_response_after: None,
            };
            simulation
                .results
                .ends
                .entry(arrival_index)
                .or_insert(unfinished);
        }
        Ok(simulation)
    }

    /// Creates the simulation with all arrivals and faults scheduled, at time zero.
    pub(crate) fn prepare(&self) -> Result<Simulation> {
        let mut simulation = Simulation::new(self.scenario.clone(), self.kind, self.seed)?;
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5EED);
        let end = WARM_UP + self.span;
        let arrivals = generate_arrivals(&self.scenario, &self.demand, WARM_UP, end, &mut random);
        simulation.add_arrivals(arrivals);
        for (at, fault) in &self.faults {
            simulation.schedule(*at, SimulationEvent::Fault(fault.clone()));
        }
        Ok(simulation)
    }
}

/// Times to the first token of all long prompts, or of all short ones; none for a prompt without a
/// first token.
pub(crate) fn first_token_waits(simulation: &Simulation, long: bool) -> Vec<Option<Duration>> {
    let mut first_token_waits = Vec::new();
    for (index, arrival) in simulation.arrivals.iter().enumerate() {
        let RequestKind::Prompt { is_long, .. } = arrival.request_kind else {
            continue;
        };
        if is_long == long {
            first_token_waits.push(
                simulation
                    .results
                    .ends
                    .get(&index)
                    .and_then(|end| end.first_response_after),
            );
        }
    }
    first_token_waits
}

/// Share of the arrivals between `from` and `to` selected by `selects` whose answer was complete
/// and started within `max_wait`.
pub(crate) fn served_share(
    simulation: &Simulation,
    from: Duration,
    to: Duration,
    max_wait: Duration,
    selects: impl Fn(&Arrival) -> bool,
) -> f64 {
    let (mut served, mut total) = (0_u32, 0_u32);
    for (index, arrival) in simulation.arrivals.iter().enumerate() {
        if arrival.at < from || arrival.at >= to || !selects(arrival) {
            continue;
        }
        total += 1;
        let Some(end) = simulation.results.ends.get(&index) else {
            continue;
        };
        let in_time = end
            .first_response_after
            .is_some_and(|after| after <= max_wait);
        served += u32::from(end.complete && in_time);
    }
    f64::from(served) / f64::from(total.max(1))
}
