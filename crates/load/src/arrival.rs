use super::*;

/// What one caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Work {
    Long,
    Short,
}

/// One request at its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time since the phase began.
    pub(crate) at: Duration,
    pub(crate) index: u64,
    pub(crate) work: Work,
}

/// Draws Poisson arrivals; the same settings give the same ones.
pub(crate) fn draw(settings: &LoadSettings) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let draw = random.random::<f64>().max(f64::MIN_POSITIVE);
        at += Duration::from_secs_f64(-draw.ln() / settings.prompts_per_s);
        if at >= settings.span() {
            return arrivals;
        }
        let is_long = random.random_bool(settings.long_fraction);
        let work = if is_long { Work::Long } else { Work::Short };
        arrivals.push(Arrival {
            at,
            index: arrivals.len() as u64,
            work,
        });
    }
}
