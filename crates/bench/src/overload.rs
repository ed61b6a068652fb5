use super::*;

/// Demand over what all slots can do.
const LOAD: f64 = 1.5;

const SPAN: Duration = Duration::from_secs(60);

/// Tokens delivered under steady overload, against what the engines could do.
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
