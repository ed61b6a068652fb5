use super::*;

/// One request in progress, as its caller and the engines see it.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Index of the arrival.
    pub(crate) arrival: usize,
    pub(crate) attempt: Attempt,
    /// Tokens that the caller has.
    pub(crate) delivered_tokens: u32,
    pub(crate) first_token_at: Option<Duration>,
    /// Instance that serves the request.
    pub(crate) instance: usize,
    pub(crate) last_token_at: Duration,
    pub(crate) phase: RequestPhase,
    pub(crate) priority: Priority,
    pub(crate) route: Option<Route>,
    /// Whether the engines hold the key-value cache of all tokens so far.
    pub(crate) has_kv_cache: bool,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// At the instance, or on the way.
    Instance,
    /// Holds slots.
    Running,
    /// Waits at its first stage.
    Waiting,
}
