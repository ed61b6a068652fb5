use super::*;

/// Share of all slots that the demand keeps busy before and after the peak.
const BASE_LOAD: f64 = 0.3;

/// Demand at the peak as a multiple of the base load.
const PEAK_FACTOR: f64 = 10.0;

/// Time from the end of the warm-up to the start of the rise.
const PEAK_START: Duration = Duration::from_secs(20);

/// Time in which the demand rises from the base load to the peak.
const RISE_DURATION: Duration = Duration::from_secs(2);

/// Time for which the demand stays at the peak.
const PEAK_DURATION: Duration = Duration::from_secs(10);

/// Fraction of the achievable service that must be reached.
const TARGET_SHARE: f64 = 0.95;

/// Measures which share of the requests is served in time while the demand rises tenfold within two
/// seconds: of all requests, of the small account that fares worst, and of the service calls. The
/// first two accounts make half of the demand and more, so the others are the small ones.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Result<Vec<Measure>> {
    let naive = run(scenario, PolicyKind::Naive, seed)?;
    let shipped = run(scenario, PolicyKind::Shipped, seed)?;
    let (from, to) = (
        WARM_UP + PEAK_START,
        WARM_UP + PEAK_START + RISE_DURATION + PEAK_DURATION,
    );
    let share =
        |simulation: &Simulation| served_share(simulation, from, to, CALLER_TIMEOUT, |_| true);
    let bound = achievable_share(&shipped, from, to);
    let mut measures = vec![Measure {
        bound: Some(bound),
        limit: Limit::AtLeast(TARGET_SHARE * bound),
        name: format!("{}.swing_served", scenario.name),
        naive: Some(share(&naive)),
        unit: "share",
        value: share(&shipped),
    }];
    let least_served_share = |simulation: &Simulation| {
        let shares = (2..scenario.account_count).map(|account| {
            served_share(simulation, from, to, CALLER_TIMEOUT, |arrival| {
                arrival.account == account
            })
        });
        shares.fold(1.0, f64::min)
    };
    measures.push(Measure {
        bound: Some(1.0),
        limit: Limit::AtLeast(TARGET_SHARE * bound),
        name: format!("{}.swing_served_least_small_account", scenario.name),
        naive: Some(least_served_share(&naive)),
        unit: "share",
        value: least_served_share(&shipped),
    });
    let is_call = |arrival: &Arrival| matches!(arrival.request_kind, RequestKind::Call { .. });
    let call_share = |simulation: &Simulation| {
        served_share(simulation, from, to, Duration::from_secs(1), is_call)
    };
    measures.push(Measure {
        bound: Some(1.0),
        limit: Limit::AtLeast(TARGET_SHARE),
        name: format!("{}.swing_calls_within_1s", scenario.name),
        naive: Some(call_share(&naive)),
        unit: "share",
        value: call_share(&shipped),
    });
    Ok(measures)
}

fn run(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Result<Simulation> {
    let base_per_s = scenario.prompts_per_s(BASE_LOAD);
    let span = PEAK_START + RISE_DURATION + PEAK_DURATION + Duration::from_secs(20);
    let demand = move |at: Duration| {
        let since_start_s = at.saturating_sub(WARM_UP + PEAK_START).as_secs_f64();
        let rise = (since_start_s / RISE_DURATION.as_secs_f64()).min(1.0);
        let is_over = since_start_s > (RISE_DURATION + PEAK_DURATION).as_secs_f64();
        let factor = if is_over {
            1.0
        } else {
            1.0 + (PEAK_FACTOR - 1.0) * rise
        };
        base_per_s * factor
    };
    SimulationRun {
        demand: Box::new(demand),
        ..SimulationRun::steady(scenario, kind, seed, BASE_LOAD, span)
    }
    .run_to_end()
}

/// Share of the arrivals between `from` and `to` that a single queue in front of all slots would
/// start in time: oldest first, with every slot at the full token rate, and without requests whose
/// caller has disconnected. A long prompt cannot be told from a short one until its answer exceeds
/// the longest short answer, so each prompt uses a slot for up to that many tokens before it can be
/// deferred.
fn achievable_share(simulation: &Simulation, from: Duration, to: Duration) -> f64 {
    let scenario = &simulation.scenario;
    let slot_count = scenario.slot_count();
    let token_time = Duration::from_secs_f64(slot_count as f64 / scenario.token_bound_per_s());
    let longest_short = scenario.short_tokens * 3 / 2;
    let mut free_at: BinaryHeap<Reverse<Duration>> =
        std::iter::repeat_n(Reverse(Duration::ZERO), slot_count).collect();
    let (mut served, mut total) = (0_u32, 0_u32);
    for arrival in &simulation.arrivals {
        let is_counted = arrival.at >= from && arrival.at < to;
        total += u32::from(is_counted);
        let RequestKind::Prompt { answer_tokens, .. } = arrival.request_kind else {
            served += u32::from(is_counted);
            continue;
        };
        let earliest = free_at.peek().map_or(Duration::ZERO, |free| free.0);
        if earliest > arrival.at + CALLER_TIMEOUT {
            continue;
        }
        free_at.pop();
        served += u32::from(is_counted);
        let slot_time = token_time * answer_tokens.min(longest_short);
        free_at.push(Reverse(earliest.max(arrival.at) + slot_time));
    }
    f64::from(served) / f64::from(total.max(1))
}
