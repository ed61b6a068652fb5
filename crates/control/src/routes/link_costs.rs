use super::*;

/// Weight of one observation in the moving mean.
const EWMA_WEIGHT: f64 = 0.2;

/// Time after which an observed excess counts half. A link that recovered is used again only if
/// its old observation fades.
const HALF_LIFE_S: f64 = 20.0;

/// Most pairs remembered.
const MAX_PAIRS: usize = 16_384;

/// Cost of sending one token from one target to the next.
#[derive(Clone, Debug, Default)]
pub struct LinkCosts {
    pairs: BTreeMap<(TargetId, TargetId), Observed>,
}

#[derive(Clone, Debug)]
struct Observed {
    observed_at: Duration,
    /// Milliseconds above the default cost.
    excess_ms: f64,
}

impl LinkCosts {
    /// Cost of one token between two targets, in milliseconds.
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

    /// Takes in the time that each token of a route took beyond its expectation, in milliseconds.
    /// The excess is divided evenly over the links of the route, as single links are not visible
    /// from here; links that slow routes share come to stand out.
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

/// Cost of one message between two places, each a failure domain and a region, in milliseconds.
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
