use super::*;

/// Time constant of the exponential decay: recorded transfers lose about two thirds of their weight in
/// this time.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Maximum utilization that the delay factor accounts for. It limits the factor to 20.
const MAX_LINK_LOAD: f64 = 0.95;

/// Recent transfers of this instance over the links between failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkLoads {
    /// Decayed sum of bits for each pair of domains, and when it was last updated. The names in a pair
    /// are in alphabetical order, as both directions share a link.
    bits: HashMap<(DomainName, DomainName), (f64, Duration)>,
}

impl LinkLoads {
    /// Records a transfer.
    pub(crate) fn record(&mut self, now: Duration, from: &DomainName, to: &DomainName, bits: f64) {
        let sum = self.decayed(now, from, to) + bits;
        self.bits.insert(link_key(from, to), (sum, now));
    }

    /// Factor by which the load of a link prolongs a transfer, if `instance_factor` instances each send
    /// as much as this one.
    pub(crate) fn delay_factor(
        &self,
        now: Duration,
        (from, to): (&DomainName, &DomainName),
        instance_factor: f64,
        link_mbps: f64,
    ) -> f64 {
        let bits_per_s = self.decayed(now, from, to) * instance_factor / DECAY_TIME.as_secs_f64();
        let load = bits_per_s / (link_mbps.max(1.0) * 1e6);
        1.0 / (1.0 - load.min(MAX_LINK_LOAD))
    }

    /// Decayed sum of the bits that were sent between two domains, in both directions.
    fn decayed(&self, now: Duration, from: &DomainName, to: &DomainName) -> f64 {
        let Some((bits, at)) = self.bits.get(&link_key(from, to)) else {
            return 0.0;
        };
        let age = now.saturating_sub(*at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        bits * (-age).exp()
    }
}

fn link_key(from: &DomainName, to: &DomainName) -> (DomainName, DomainName) {
    (from.min(to).clone(), from.max(to).clone())
}
