use super::*;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// Call of a service.
    Call { kind: OperationKind },
    /// Prompt whose answer has this many tokens.
    Prompt { answer_tokens: u32, is_long: bool },
}

/// One request of one caller, at its time.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) account: usize,
    pub(crate) at: Duration,
    pub(crate) prefix: u64,
    pub(crate) request_kind: RequestKind,
}

/// Demand over time: prompts per second at a time.
pub(crate) type DemandRate = dyn Fn(Duration) -> f64;

/// Draws Poisson arrivals from `start` to `end`. Two accounts make half of the demand.
pub(crate) fn generate_arrivals(
    scenario: &Scenario,
    demand: &DemandRate,
    start: Duration,
    end: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = start;
    while at < end {
        let rate_per_s = demand(at).max(0.1);
        let gap_s = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate_per_s;
        at += Duration::from_secs_f64(gap_s);
        let account = match random.random_bool(0.5) {
            false => random.random_range(0..scenario.account_count),
            true => random.random_range(0..2),
        };
        let prefix = random.random_range(0..200);
        arrivals.push(Arrival {
            account,
            at,
            prefix,
            request_kind: draw_request_kind(scenario, random),
        });
    }
    arrivals
}

fn draw_request_kind(scenario: &Scenario, random: &mut ChaCha8Rng) -> RequestKind {
    let call_one_in = scenario.service_call_one_in;
    if call_one_in > 0 && random.random_ratio(1, call_one_in) {
        let kind = match random.random_bool(0.5) {
            false => OperationKind::Idempotent,
            true => OperationKind::NonRepeatable,
        };
        return RequestKind::Call { kind };
    }
    let is_long = random.random_ratio(1, scenario.long_one_in);
    let mean = if is_long {
        scenario.long_tokens
    } else {
        scenario.short_tokens
    };
    let answer_tokens = random.random_range(mean / 2..=mean * 3 / 2);
    RequestKind::Prompt {
        answer_tokens,
        is_long,
    }
}
