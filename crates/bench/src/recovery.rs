use super::*;

/// Share of all slots that the demand keeps busy.
const LOAD: f64 = 0.5;

/// Time of the failure.
const FAILURE_AT: Duration = Duration::from_secs(45);

/// Duration of the table's outage.
const OUTAGE: Duration = Duration::from_secs(10);

/// Duration of the demand.
const SPAN: Duration = Duration::from_secs(60);

/// Longest allowed time to recovery, in seconds; the requirement says only "seconds".
const MAX_RECOVERY_S: f64 = 4.0;

/// Fraction of the token rate before the failure that counts as recovered.
const RECOVERED_FRACTION: f64 = 0.9;

/// Width of the sliding window over which the token rate is measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Name prefix, unit, limit and value of one measure.
type MeasureSpec = (&'static str, &'static str, Limit, fn(&Simulation) -> f64);

/// Measures, for each kind of failure, the time until the token rate is back, the share of complete
/// answers, the operations that ran more than once and the longest time between two tokens.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Result<Vec<Measure>> {
    let mut measures = Vec::new();
    for (name, faults) in failures(scenario) {
        let run = |kind| {
            let faults = faults.clone();
            SimulationRun {
                faults,
                ..SimulationRun::steady(scenario, kind, seed, LOAD, SPAN)
            }
            .run_to_end()
        };
        let (naive, shipped) = (run(PolicyKind::Naive)?, run(PolicyKind::Shipped)?);
        let specs: [MeasureSpec; 4] = [
            ("recovery", "s", Limit::AtMost(MAX_RECOVERY_S), recovery_s),
            ("complete", "share", Limit::AtLeast(0.999), complete_share),
            ("repeated", "operations", Limit::AtMost(0.0), repeated_count),
            (
                "longest_gap",
                "s",
                Limit::AtMost(MAX_RECOVERY_S),
                longest_gap_s,
            ),
        ];
        for (prefix, unit, limit, value) in specs {
            measures.push(Measure {
                bound: (prefix == "complete").then_some(1.0),
                limit,
                name: format!("{}.{prefix}_{name}", scenario.name),
                naive: Some(value(&naive)),
                unit,
                value: value(&shipped),
            });
        }
    }
    Ok(measures)
}

/// Faults of each kind of failure, with the time of each fault.
fn failures(scenario: &Scenario) -> [(&'static str, Vec<(Duration, Fault)>); 4] {
    let outage = vec![
        (FAILURE_AT, Fault::StoreDown(true)),
        (FAILURE_AT + OUTAGE, Fault::StoreDown(false)),
    ];
    let domain = Fault::KillDomain(scenario.domain(1));
    [
        ("stage", vec![(FAILURE_AT, Fault::KillEngine(0))]),
        ("instance", vec![(FAILURE_AT, Fault::KillInstance(0))]),
        ("failure_domain", vec![(FAILURE_AT, domain)]),
        ("store", outage),
    ]
}

/// Share of all requests whose whole answer arrived before the deadline.
fn complete_share(simulation: &Simulation) -> f64 {
    served_share(
        simulation,
        Duration::ZERO,
        FAILURE_AT + SPAN,
        DEADLINE,
        |_| true,
    )
}

/// Time from the failure to the start of the first window whose token rate reaches
/// `RECOVERED_FRACTION` of the rate in the ten seconds before the failure; infinite if there is
/// none within the demand.
fn recovery_s(simulation: &Simulation) -> f64 {
    let before = simulation
        .results
        .rate_per_s(FAILURE_AT - Duration::from_secs(10), FAILURE_AT);
    let mut start = FAILURE_AT;
    while start + WINDOW <= WARM_UP + SPAN {
        let level = simulation.results.rate_per_s(start, start + WINDOW);
        if level >= before * RECOVERED_FRACTION {
            return (start - FAILURE_AT).as_secs_f64();
        }
        start += TOKEN_BUCKET;
    }
    f64::INFINITY
}

/// Number of non-repeatable operations that ran more than once.
fn repeated_count(simulation: &Simulation) -> f64 {
    let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
    for service in &simulation.services {
        for (arrival_index, count) in &service.executions {
            let kind = OperationKind::NonRepeatable;
            if simulation
                .arrivals
                .get(*arrival_index)
                .is_some_and(|arrival| arrival.request_kind == RequestKind::Call { kind })
            {
                *runs.entry(*arrival_index).or_default() += count;
            }
        }
    }
    runs.values().filter(|count| **count > 1).count() as f64
}

/// Longest time that a caller waited between two tokens, in seconds.
fn longest_gap_s(simulation: &Simulation) -> f64 {
    simulation.results.gaps_us.max() as f64 / 1e6
}
