use super::*;

/// Weight of a new observation in the exponential moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// Half-life of an observed excess, in seconds. A slow link gets no traffic and thus no new
/// observations, so its excess must decay for the link to be used again after it has recovered.
const HALF_LIFE_S: f64 = 20.0;

/// Number of target pairs beyond which those not observed for a half-life are dropped.
const MAX_PAIRS: usize = 16_384;

/// Estimated time to send one token from a target to the next one of a route.
#[derive(Clone, Debug, Default)]
pub struct LinkCosts {
    pairs: BTreeMap<(TargetId, TargetId), Observed>,
}

#[derive(Clone, Debug)]
struct Observed {
    observed_at: Duration,
    /// Moving average of the time above the default cost, in milliseconds, as of `observed_at`.
    excess_ms: f64,
}

impl LinkCosts {
    /// Expected time of one token between two targets, in milliseconds: the default for their
    /// locations plus the decayed observed excess.
    #[must_use]
    pub fn cost_ms(
        &self,
        now: Duration,
        from: &Target,
        to: &Target,
        settings: &RouteSettings,
    ) -> f64 {
        let base = default_link_ms(
            (&from.failure_domain, &from.region),
            (&to.failure_domain, &to.region),
            settings,
        );
        match self.pairs.get(&(from.id.clone(), to.id.clone())) {
            None => base,
            Some(observed) => base + observed.excess_ms * decay_factor(now, observed.observed_at),
        }
    }

    /// Records by how much each token of a route exceeded its expected time, in milliseconds. The
    /// excess is divided evenly among the links of the route, because single links cannot be
    /// measured from here. A slow link accumulates the excess of all the routes that use it.
    pub fn observe(&mut self, now: Duration, route: &Route, excess_ms: f64) {
        let link_count = route.stages.len().saturating_sub(1);
        if link_count == 0 {
            return;
        }
        let share_ms = excess_ms / link_count as f64;
        for stages in route.stages.windows(2) {
            let pair = (stages[0].target.clone(), stages[1].target.clone());
            let observed = self.pairs.entry(pair).or_insert(Observed {
                observed_at: now,
                excess_ms: 0.0,
            });
            let old_ms = observed.excess_ms * decay_factor(now, observed.observed_at);
            observed.excess_ms = (old_ms + EWMA_WEIGHT * share_ms).max(0.0);
            observed.observed_at = now;
        }
        if self.pairs.len() > MAX_PAIRS {
            let oldest = now.saturating_sub(Duration::from_secs_f64(HALF_LIFE_S));
            self.pairs
                .retain(|_, observed| observed.observed_at >= oldest);
        }
    }
}

/// Default time of one message between two locations, each given as a failure domain and a region,
/// in milliseconds.
#[must_use]
pub fn default_link_ms(
    from: (&FailureDomain, &RegionId),
    to: (&FailureDomain, &RegionId),
    settings: &RouteSettings,
) -> f64 {
    let cost_us = if from.1 != to.1 {
        settings.region_link_us
    } else if from.0 != to.0 {
        settings.domain_link_us
    } else {
        settings.same_link_us
    };
    cost_us as f64 / 1_000.0
}

fn decay_factor(now: Duration, observed_at: Duration) -> f64 {
    0.5_f64.powf(now.saturating_sub(observed_at).as_secs_f64() / HALF_LIFE_S)
}
