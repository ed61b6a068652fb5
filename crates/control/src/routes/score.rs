use super::*;

/// Cost of a target or chain: targets to avoid count before any time.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Score {
    /// Sum of the reasons to avoid the targets.
    pub avoidance: u32,
    /// Expected time to complete, in milliseconds.
    pub expected_ms: f64,
}

impl Score {
    /// Worst score.
    pub const MAX: Self = Self {
        avoidance: u32::MAX,
        expected_ms: f64::INFINITY,
    };

    /// Order of two scores.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_avoidance = self.avoidance.cmp(&other.avoidance);
        by_avoidance.then(self.expected_ms.total_cmp(&other.expected_ms))
    }

    /// Score of both one after the other.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            avoidance: self.avoidance.saturating_add(other.avoidance),
            expected_ms: self.expected_ms + other.expected_ms,
        }
    }
}

/// What a request asks of a route.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Expected rest of the answer, in tokens; 1 for a call.
    pub answer_tokens: f64,
    /// Failure domain of the last failure.
    pub avoid_domain: Option<&'a FailureDomain>,
    /// Targets at which the request failed.
    pub avoid_targets: &'a BTreeSet<TargetId>,
    /// Whether the request may use the places kept for short work.
    pub is_short: bool,
    /// Whether the request must run apart from other suspects.
    pub is_suspect: bool,
    /// Hashes of prefixes of the prompt, shortest first.
    pub prefix_hashes: &'a [u64],
    /// Prompt and delivered tokens.
    pub prompt_tokens: u32,
    /// What the request needs.
    pub resource: &'a Resource,
}

impl RouteQuery<'_> {
    /// Reasons to avoid a target: it failed this request, it is suspect, or it shares the failure
    /// domain of the last failure.
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

/// What a decision sees of the world.
#[derive(Clone, Copy, Debug)]
pub struct RoutingView<'a> {
    /// How many instances like this one share the targets; at least 1.
    pub sharing_factor: f64,
    /// This instance.
    pub identity: &'a Identity,
    /// Time since the process started.
    pub now: Duration,
    /// Targets.
    pub targets: &'a [&'a Target],
}

/// Why there is no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// Targets exist, and all are full.
    Full,
    /// The targets do not make up the whole model, or none offers the operation.
    NoTarget,
}
