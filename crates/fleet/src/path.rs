use super::*;

/// One target of a path and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation of the target that was chosen.
    pub incarnation: Incarnation,
    /// Handle of the target in the `Fleet` that chose it.
    pub key: TargetKey,
    /// Layers that it runs; none for services without a model.
    pub range: Option<LayerRange>,
}

/// Targets of one request, in the order in which they process it.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Expected time of the whole answer, in milliseconds; 0 for services without a model.
    pub cost_ms: f64,
    /// Expected time until the first event, in milliseconds; 0 for services without a model.
    pub first_event_ms: f64,
    /// Expected number of bits that each stage sends to the next one.
    pub hop_bits: f64,
    /// Stages in processing order. Invariants: at least one; ranges are adjacent and cover each layer
    /// once; no target occurs twice.
    pub stages: Vec<Stage>,
    /// Tokens for which memory is reserved on each stage.
    pub tokens: f64,
}

impl Stage {
    /// Number of layers that it runs; 0 for services without a model.
    pub(crate) fn layer_count(&self) -> f64 {
        f64::from(self.range.map_or(0, LayerRange::count))
    }
}

impl Path {
    /// Expected time until the first event; `Duration::MAX` if `first_event_ms` is negative, not finite
    /// or too large.
    #[must_use]
    pub fn first_event_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_event_ms / 1_000.0).unwrap_or(Duration::MAX)
    }

    /// First stage, to which the instance sends the request.
    #[must_use]
    pub fn first(&self) -> &Stage {
        &self.stages[0]
    }

    /// Handles of its targets in processing order.
    pub fn keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.stages.iter().map(|stage| stage.key)
    }
}

/// Why no path was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoPath {
    /// The listed targets have no capacity.
    Full,
    /// The listed targets asked to receive no requests for a while; holds the remaining time.
    Paused(Duration),
    /// All targets that could receive the request limit their requests; holds the time until the next permit
    /// is expected.
    RateLimited(Duration),
    /// No usable engine holds some of the layers.
    Incomplete,
    /// No usable target is listed.
    NoTarget,
}

impl NoPath {
    /// Value of the field `reason` in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Paused(_) => "held",
            Self::RateLimited(_) => "rate_limited",
            Self::Incomplete => "incomplete",
            Self::NoTarget => "no_target",
        }
    }
}
