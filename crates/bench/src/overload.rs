use super::*;

/// Demand relative to the capacity of all slots.
const LOAD: f64 = 1.5;

/// Duration of the demand.
const SPAN: Duration = Duration::from_secs(60);

/// Measures the tokens delivered per second under steady overload, with the capacity of the engines
/// as the bound.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Result<Vec<Measure>> {
    let run = |kind| SimulationRun::steady(scenario, kind, seed, LOAD, SPAN).run_to_end();
    let (naive, shipped) = (run(PolicyKind::Naive)?, run(PolicyKind::Shipped)?);
    let rate = |simulation: &Simulation| {
        simulation
            .results
            .rate_per_s(WARM_UP + Duration::from_secs(10), WARM_UP + SPAN)
    };
    let naive_rate = rate(&naive);
    Ok(vec![Measure {
        bound: Some(scenario.token_bound_per_s()),
        limit: Limit::AtLeast(naive_rate),
        name: format!("{}.overload_tokens", scenario.name),
        naive: Some(naive_rate),
        unit: "tokens/s",
        value: rate(&shipped),
    }])
}
