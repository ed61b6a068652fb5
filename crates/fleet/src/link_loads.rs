use super::*;

/// Time in which noted transfers lose two thirds of their weight.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Highest load that is taken into account; beyond it, a pipe costs twenty times its usual time.
const MAX_LINK_LOAD: f64 = 0.95;

/// Transfers of this instance between failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkLoads {
    /// Decayed bits of each pair of domains, in alphabetical order, and when they were noted.
    bits: HashMap<(DomainName, DomainName), (f64, Duration)>,
}

impl LinkLoads {
    /// Notes a transfer.
    pub(crate) fn record(&mut self, now: Duration, from: &DomainName, to: &DomainName, bits: f64) {
        let sum = self.decayed(now, from, to) + bits;
        self.bits.insert(pair(from, to), (sum, now));
    }

    /// Factor on the time of a transfer when `peer_factor` instances send as much as this one.
    pub(crate) fn delay_factor(
        &self,
        now: Duration,
        (from, to): (&DomainName, &DomainName),
        instance_factor: f64,
        pipe_mbps: f64,
    ) -> f64 {
        let bits_per_s = self.decayed(now, from, to) * instance_factor / DECAY_TIME.as_secs_f64();
        let load = bits_per_s / (pipe_mbps.max(1.0) * 1e6);
        1.0 / (1.0 - load.min(MAX_LINK_LOAD))
    }

    fn decayed(&self, now: Duration, from: &DomainName, to: &DomainName) -> f64 {
        let Some((bits, at)) = self.bits.get(&pair(from, to)) else {
            return 0.0;
        };
        let age = now.saturating_sub(*at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        bits * (-age).exp()
    }
}

fn pair(from: &DomainName, to: &DomainName) -> (DomainName, DomainName) {
    (from.min(to).clone(), from.max(to).clone())
}
