use super::*;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// Call of a service.
    Call { kind: OperationKind },
    /// Prompt whose answer has this many tokens.
    Prompt { answer_tokens: u32, is_long: bool },
}

/// A request and the time at which its caller first submits it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Index of the client account.
    pub(crate) account: usize,
    /// Virtual time of the first submission.
    pub(crate) at: Duration,
    /// Hash of the prompt prefix, which requests with equal hashes share.
    pub(crate) prefix: u64,
    pub(crate) request_kind: RequestKind,
}

/// Arrivals per second as a function of virtual time.
pub(crate) type DemandRate = dyn Fn(Duration) -> f64;

/// Generates Poisson arrivals from `start` to `end`. Half of the demand goes to the first two
/// accounts, the other half is spread evenly over all accounts.
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

/// Draws what a request asks for from the mix of a scenario. Answer lengths are uniform between
/// half of their mean and one and a half times it.
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
