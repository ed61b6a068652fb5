use super::*;

/// Length of the answer that a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Long,
    Short,
}

/// A request and the time at which it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time after the start of the phase.
    pub(crate) at: Duration,
    /// Position among the arrivals of the phase, used in the prompt.
    pub(crate) index: u64,
    pub(crate) kind: RequestKind,
}

/// Generates the Poisson arrivals of one phase. Equal settings give equal arrivals.
pub(crate) fn generate_arrivals(settings: &LoadSettings) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let uniform = random.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-uniform.ln() / settings.prompts_per_s);
        if at >= settings.phase_duration() {
            return arrivals;
        }
        let is_long = random.random_bool(settings.long_fraction);
        let kind = if is_long {
            RequestKind::Long
        } else {
            RequestKind::Short
        };
        arrivals.push(Arrival {
            at,
            index: arrivals.len() as u64,
            kind,
        });
    }
}
