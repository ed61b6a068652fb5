use super::*;

/// How often a request may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once, answered by a stream of events that can be resumed after the last event
    /// received.
    ResumableStream,
    /// At most once, answered by a stream of events that cannot be resumed.
    Stream,
}

impl RepeatPolicy {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Returns whether the request may be sent again after a target may have started to run it.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceName,
    /// Share relative to the other backends; 0 receives no requests.
    pub weight: u32,
}

/// Rules for the requests to one host below a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Maximum number of targets that one request may be sent to.
    pub attempt_count: u32,
    /// Services that share the requests. Invariant: at least one has a weight above 0.
    pub backends: Vec<Backend>,
    /// Maximum pause between two events of an answer that counts as on time; none if pauses are not
    /// rated.
    pub gap_goal: Option<Duration>,
    /// Host that requests address.
    pub host: Arc<str>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Time within which an answer, or its first event, counts as on time.
    pub latency_goal: Duration,
    /// Name of the route.
    pub name: RouteName,
    /// Prefix of the paths. Invariant: starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Rank of requests whose account has none; 0 is the most urgent.
    pub rank: u32,
    /// How often a request may run.
    pub repeat: RepeatPolicy,
    /// Maximum time until the answer is complete.
    pub time_limit: Duration,
}

impl Route {
    /// Selects the service for a request from `sample`, a random number from 0 to 1.
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
