use super::*;

/// Reply of a service to one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallReply {
    /// Body, as text.
    pub body: Arc<str>,
    /// HTTP status.
    pub status: u16,
}

/// Final answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The same key was used for another body; nothing ran under this body.
    KeyMismatch,
    /// The operation was not run, and is not run later.
    NotRun(Refusal),
    /// The operation ran once.
    Ran(CallReply),
    /// The operation ran or did not run, and will not be run again.
    Unknown,
}

/// Why work was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Answer cannot be complete before the deadline.
    Deadline,
    /// This instance is about to stop; another address takes the request.
    Draining,
    /// The account has as many requests as its plan allows.
    Limit,
    /// No target can run the request.
    NoTarget,
    /// Requests like this one crashed targets.
    Quarantined,
    /// Every allowed attempt failed.
    RetriesExhausted,
    /// This instance cannot confirm that its configuration is current.
    StaleConfig,
    /// The platform's store does not answer. For a non-repeatable call it means: this submission
    /// was not run; earlier submissions of the key are not known.
    StoreUnavailable,
}

/// A final refusal. Nothing was run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason.
    pub kind: RefusalKind,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}
