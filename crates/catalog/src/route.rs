use super::*;

/// How often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once, unless it goes on after the last event that arrived.
    ResumableStream,
    /// At most once, answered by a stream of events.
    Stream,
}

impl RepeatPolicy {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether the request may be sent again after a target may have begun to run it.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, relative to the other backends.
    pub weight: u32,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Targets that one request may be sent to.
    pub attempt_count: u32,
    /// Services. Invariant: at least one with a weight above 0.
    pub backends: Vec<Backend>,
    /// Longest pause between two events of an answer that is on time.
    pub gap_goal: Option<Duration>,
    /// Host that the request names.
    pub host: Arc<str>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Time within which an answer, or its first event, is on time.
    pub latency_goal: Duration,
    /// Name.
    pub name: RouteName,
    /// Beginning of the paths. Invariant: begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Rank; 0 comes first.
    pub rank: u32,
    /// How often its requests may run.
    pub repeat: RepeatPolicy,
    /// Longest time until the final answer.
    pub time_limit: Duration,
}

impl Route {
    /// Service for a request whose draw from 0 to 1 is `draw`.
    #[must_use]
    pub fn service(&self, sample: f64) -> Option<&ServiceName> {
        let total_weight: f64 = self
            .backends
            .iter()
            .map(|backend| f64::from(backend.weight))
            .sum();
        let mut remaining = sample.clamp(0.0, 1.0) * total_weight;
        let mut last = None;
        for backend in &self.backends {
            if backend.weight == 0 {
                continue;
            }
            last = Some(&backend.service);
            remaining -= f64::from(backend.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
