use super::*;

/// What one caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Long,
    Short,
}

/// One request at its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time since the phase began.
    pub(crate) at: Duration,
    pub(crate) index: u64,
    pub(crate) kind: RequestKind,
}

/// Draws Poisson arrivals; the same settings give the same ones.
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
