use super::*;

/// A request in progress, as its caller and the engines see it.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Index of the arrival.
    pub(crate) arrival_index: usize,
    pub(crate) attempt: Attempt,
    /// Number of tokens that the caller has received.
    pub(crate) delivered_tokens: u32,
    pub(crate) first_token_at: Option<Duration>,
    /// Index of the instance that serves the request.
    pub(crate) instance: usize,
    pub(crate) last_token_at: Duration,
    pub(crate) phase: RequestPhase,
    pub(crate) priority: Priority,
    pub(crate) route: Option<Route>,
    /// Whether the engines of the route have the key-value cache of all tokens so far.
    pub(crate) has_kv_cache: bool,
}

/// Progress of the current attempt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// At the instance, or on the way to the first stage.
    Instance,
    /// Runs and holds a slot at every stage.
    Running,
    /// Waits for slots at its first stage.
    Waiting,
}
