use super::*;

/// One target of a path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stage {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Id of this start of it.
    pub id: TargetId,
    /// Handle.
    pub key: TargetKey,
    /// Layers that it runs; none for plain services.
    pub range: Option<LayerRange>,
}

/// Targets of one request, in the order in which they run it.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Expected time of the whole answer, in milliseconds; 0 for plain services.
    pub cost_ms: f64,
    /// Expected time until the first event, in milliseconds; 0 for plain services.
    pub first_event_ms: f64,
    /// Bits that each stage sends to the next one.
    pub hop_bits: f64,
    /// Stages. Invariants: at least one; ranges are adjacent and cover each layer once; no target
    /// comes twice.
    pub stages: Vec<Stage>,
    /// Tokens for which memory is counted.
    pub tokens: f64,
}

impl Stage {
    /// Number of layers that it runs.
    pub(crate) fn layers(&self) -> f64 {
        f64::from(self.range.map_or(0, LayerRange::count))
    }
}

impl Path {
    /// Expected time until the first event; the longest there is if it is no usual number.
    #[must_use]
    pub fn first_event_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_event_ms / 1_000.0).unwrap_or(Duration::MAX)
    }

    /// Target that the request is sent to.
    #[must_use]
    pub fn first(&self) -> &Stage {
        &self.stages[0]
    }

    /// Handles of its targets.
    pub fn keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.stages.iter().map(|stage| stage.key)
    }
}

/// Why no targets were chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoPath {
    /// Targets are there, but have no room.
    Full,
    /// Targets are there, but asked for a time without requests, of which this is left.
    Paused(Duration),
    /// Some layers are held by no usable engine.
    Incomplete,
    /// No usable target is listed.
    NoTarget,
}

impl NoPath {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Paused(_) => "held",
            Self::Incomplete => "incomplete",
            Self::NoTarget => "no_target",
        }
    }
}
