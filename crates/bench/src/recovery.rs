use super::*;

const LOAD: f64 = 0.5;

/// Time of the failure.
const FAILURE_AT: Duration = Duration::from_secs(45);

/// Length of the table's outage.
const OUTAGE: Duration = Duration::from_secs(10);

const SPAN: Duration = Duration::from_secs(60);

/// Most time until service is back; the brief asks for seconds.
const RECOVERY_S: f64 = 4.0;

/// Part of the level before the failure that counts as recovered.
const RECOVERED_FRACTION: f64 = 0.9;

/// Width of the sliding window over which the level is taken.
const WINDOW: Duration = Duration::from_secs(1);

/// Time from a failure to the level of service before it, by kind of failure.
pub(crate) fn measure(scene: &Scene, seed: u64) -> Result<Vec<Measure>> {
    let faults = [
        ("stage", vec![(FAILURE_AT, Fault::KillEngine(0))]),
        ("instance", vec![(FAILURE_AT, Fault::KillInstance(0))]),
        (
            "failure_domain",
            vec![(FAILURE_AT, Fault::KillDomain(scene.domain(1)))],
        ),
        (
            "store",
            vec![
                (FAILURE_AT, Fault::StoreDown(true)),
                (FAILURE_AT + OUTAGE, Fault::StoreDown(false)),
            ],
        ),
    ];
    let mut measures = Vec::new();
    for (name, faults) in faults {
        let run = |kind| {
            let faults = faults.clone();
            Run {
                faults,
                ..Run::steady(scene, kind, seed, LOAD, SPAN)
            }
            .finish()
        };
        let (naive, shipped) = (run(PolicyKind::Naive)?, run(PolicyKind::Shipped)?);
        measures.push(Measure {
            bound: None,
            limit: Limit::AtMost(RECOVERY_S),
            name: format!("{}.recovery_{name}", scene.name),
            naive: Some(recovery_s(&naive)),
            unit: "s",
            value: recovery_s(&shipped),
        });
        let lost = |world: &World| {
            served_share(world, Duration::ZERO, FAILURE_AT + SPAN, DEADLINE, |_| true)
        };
        measures.push(Measure {
            bound: Some(1.0),
            limit: Limit::AtLeast(0.999),
            name: format!("{}.complete_{name}", scene.name),
            naive: Some(lost(&naive)),
            unit: "share",
            value: lost(&shipped),
        });
        measures.push(Measure {
            bound: None,
            limit: Limit::AtMost(0.0),
            name: format!("{}.repeated_{name}", scene.name),
            naive: Some(repeated_count(&naive)),
            unit: "operations",
            value: repeated_count(&shipped),
        });
        measures.push(Measure {
            bound: None,
            limit: Limit::AtMost(RECOVERY_S),
            name: format!("{}.longest_gap_{name}", scene.name),
            naive: Some(longest_gap_s(&naive)),
            unit: "s",
            value: longest_gap_s(&shipped),
        });
    }
    Ok(measures)
}

/// Time until a window of one second reaches the level before the failure and no later window
/// within the demand falls far below it.
fn recovery_s(world: &World) -> f64 {
    let before = world
        .tally
        .rate_per_s(FAILURE_AT - Duration::from_secs(10), FAILURE_AT);
    let mut start = FAILURE_AT;
    while start + WINDOW <= WARM_UP + SPAN {
        let level = world.tally.rate_per_s(start, start + WINDOW);
        if level >= before * RECOVERED_FRACTION {
            return (start - FAILURE_AT).as_secs_f64();
        }
        start += BUCKET;
    }
    f64::INFINITY
}

/// Non-repeatable operations that ran more than once.
fn repeated_count(world: &World) -> f64 {
    let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
    for service in &world.services {
        for (arrival, count) in &service.executions {
            let kind = OperationKind::NonRepeatable;
            if world
                .arrivals
                .get(*arrival)
                .is_some_and(|spec| spec.work == Work::Call { kind })
            {
                *runs.entry(*arrival).or_default() += count;
            }
        }
    }
    runs.values().filter(|count| **count > 1).count() as f64
}

/// Longest time that a caller waited between two tokens.
fn longest_gap_s(world: &World) -> f64 {
    world.tally.gaps_us.max() as f64 / 1e6
}
