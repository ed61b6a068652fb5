use super::*;

/// Reply of a plain service to one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallReply {
    /// Response body, as text.
    pub body: Arc<str>,
    /// HTTP status code.
    pub status: u16,
}

/// Final answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The idempotency key was already used with another body; nothing was run with this body.
    KeyMismatch,
    /// The operation was not run and will not be run later.
    NotRun(Refusal),
    /// The operation ran exactly once.
    Ran(CallReply),
    /// It is unknown whether the operation ran; it will not be run again.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The answer cannot be completed before the deadline.
    Deadline,
    /// This instance is about to stop; another instance can accept the request.
    Draining,
    /// The account has reached a limit of its plan.
    Limit,
    /// No target can run the request.
    NoTarget,
    /// Requests with the same content crashed targets.
    Quarantined,
    /// Every allowed attempt failed.
    RetriesExhausted,
    /// This instance cannot confirm that its configuration is current.
    StaleConfig,
    /// The platform's store does not respond. For a non-repeatable call, this submission was not
    /// run, but it is unknown whether an earlier submission with the same key was.
    StoreUnavailable,
}

/// A final refusal; nothing was run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}
