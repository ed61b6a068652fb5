use super::*;

/// Cost of a target or a chain of targets. Scores are compared by avoidance first, then by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Score {
    /// Sum of the avoidance values of the targets; 0 if there is no reason to avoid any of them.
    pub avoidance: u32,
    /// Expected time to complete, in milliseconds.
    pub expected_ms: f64,
}

impl Score {
    /// Score that is worse than any other.
    pub const MAX: Self = Self {
        avoidance: u32::MAX,
        expected_ms: f64::INFINITY,
    };

    /// Compares by avoidance, then by expected time; the lesser score is the better one.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_avoidance = self.avoidance.cmp(&other.avoidance);
        by_avoidance.then(self.expected_ms.total_cmp(&other.expected_ms))
    }

    /// Score of two parts of a route, one after the other.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            avoidance: self.avoidance.saturating_add(other.avoidance),
            expected_ms: self.expected_ms + other.expected_ms,
        }
    }
}

/// Properties of a request that determine its route.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Expected number of tokens that are still to be generated; 1 for a call.
    pub answer_tokens: f64,
    /// Failure domain of the target that failed last, if known.
    pub avoid_domain: Option<&'a FailureDomain>,
    /// Targets at which the request failed since it last made progress.
    pub avoid_targets: &'a BTreeSet<TargetId>,
    /// Whether the request is expected to be short and may use the slots reserved for short ones.
    pub is_short: bool,
    /// Whether the request may have crashed a target, and must not share one with other such
    /// requests.
    pub is_suspect: bool,
    /// Hashes of the prompt's prefixes, shortest first; empty for a call.
    pub prefix_hashes: &'a [u64],
    /// Number of tokens to prefill: those of the prompt and those delivered so far.
    pub prompt_tokens: u32,
    /// Model or operation that the request needs.
    pub resource: &'a Resource,
}

impl RouteQuery<'_> {
    /// How strongly to avoid a target, in order of weight: the request failed there, the target is
    /// suspect, or it is in the failure domain of the last failure.
    #[must_use]
    pub fn avoidance(&self, target: &Target) -> u32 {
        let mut avoidance = 0;
        if self.avoid_targets.contains(&target.id) {
            avoidance += 100;
        }
        if target.health == TargetHealth::Suspect {
            avoidance += 10;
        }
        if self.avoid_domain == Some(&target.failure_domain) {
            avoidance += 1;
        }
        avoidance
    }
}

/// Input of a routing decision: the instance, its targets and the time.
#[derive(Clone, Copy, Debug)]
pub struct RoutingView<'a> {
    /// Estimated number of instances that share the targets with this one, itself included; at
    /// least 1.
    pub sharing_factor: f64,
    /// Identity and location of this instance.
    pub identity: &'a Identity,
    /// Time since the process started.
    pub now: Duration,
    /// All known targets, whatever their health.
    pub targets: &'a [&'a Target],
}

/// Why there is no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// The targets form a route, but not with enough capacity.
    Full,
    /// The targets do not hold all layers of the model, or none offers the operation.
    NoTarget,
}
