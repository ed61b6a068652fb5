use super::*;

/// Share of all slots that the demand keeps busy.
const LOAD: f64 = 0.7;

/// Duration of the demand.
const SPAN: Duration = Duration::from_secs(60);

/// Stated target for the time to the first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 310.0;

/// Stated target for the time between two tokens, in milliseconds.
const GAP_MS: f64 = 64.0;

/// Measures the time to the first token of short prompts, with their time in a run without long
/// prompts as the bound, that of long prompts, and the time between tokens.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Result<Vec<Measure>> {
    let run = |kind, scenario: &Scenario| {
        SimulationRun::steady(scenario, kind, seed, LOAD, SPAN).run_to_end()
    };
    let alone = Scenario {
        long_tokens: scenario.short_tokens,
        ..scenario.clone()
    };
    let naive = run(PolicyKind::Naive, scenario)?;
    let shipped = run(PolicyKind::Shipped, scenario)?;
    let shipped_alone = run(PolicyKind::Shipped, &alone)?;
    let mut measures = Vec::new();
    for (share, limit) in [
        (0.5, Limit::None),
        (0.95, Limit::AtMost(FIRST_TOKEN_MS)),
        (0.99, Limit::None),
    ] {
        let wait_ms =
            |simulation: &Simulation| quantile_ms(&first_token_waits(simulation, false), share);
        measures.push(Measure {
            bound: Some(wait_ms(&shipped_alone)),
            limit,
            name: format!("{}.short_wait_p{:.0}", scenario.name, share * 100.0),
            naive: Some(wait_ms(&naive)),
            unit: "ms",
            value: wait_ms(&shipped),
        });
    }
    measures.push(Measure {
        bound: None,
        limit: Limit::AtMost(DEADLINE.as_secs_f64() * 1_000.0),
        name: format!("{}.long_wait_max", scenario.name),
        naive: Some(quantile_ms(&first_token_waits(&naive, true), 1.0)),
        unit: "ms",
        value: quantile_ms(&first_token_waits(&shipped, true), 1.0),
    });
    let gap_ms = |simulation: &Simulation| {
        simulation.results.gaps_us.value_at_quantile(0.95) as f64 / 1_000.0
    };
    measures.push(Measure {
        bound: None,
        limit: Limit::AtMost(GAP_MS),
        name: format!("{}.token_gap_p95", scenario.name),
        naive: Some(gap_ms(&naive)),
        unit: "ms",
        value: gap_ms(&shipped),
    });
    Ok(measures)
}
