use super::*;

/// What a caller was told of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The operation was not run.
    NotRun,
    /// The operation ran, with this body.
    Ran(String),
    /// It ran or did not run, and will not be run again.
    Unknown,
}

/// One call that a caller made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallRecord {
    /// Place of the call among all entries of the record.
    pub(crate) started_at: u64,
    /// Idempotency key.
    pub(crate) key: String,
    /// What the caller was told, and the place of that; none while there is no reply.
    pub(crate) outcome: Option<(u64, CallOutcome)>,
}

/// Layers that one engine ran for one token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerRun {
    /// Attempt.
    pub attempt: u32,
    /// Token.
    pub index: TokenIndex,
    /// Layers.
    pub layers: LayerRange,
    /// Request.
    pub request: RequestId,
}

/// What a caller received of one answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedAnswer {
    /// Whether the caller left before the end on purpose.
    pub(crate) is_abandoned: bool,
    /// Whether the end of the answer was received.
    pub(crate) is_complete: bool,
    /// Tokens in the order in which they came, with the request that their event id names.
    pub(crate) tokens: Vec<(RequestId, TokenIndex, String)>,
}

/// Everything that a recorder holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Edits that were accepted, in the order in which their operators learned of it.
    pub(crate) accepted: Vec<(OperationId, ConfigVersion)>,
    /// Calls in the order in which they were made.
    pub(crate) calls: Vec<CallRecord>,
    /// Runs of non-repeatable operations by key, over all services.
    pub(crate) executed: BTreeMap<String, u64>,
    /// Whether the log of a service is lost, so that no operation can be said not to have run.
    pub(crate) is_execution_log_lost: bool,
    /// Whether the log of an engine is lost, so that no layer can be said to be missing.
    pub(crate) is_engine_log_lost: bool,
    /// Layers that engines ran, in the order of each engine's log.
    pub(crate) layers: Vec<LayerRun>,
    /// Number of entries about calls.
    pub(crate) entry_count: u64,
    /// Versions that each instance showed, in order.
    pub(crate) observed: BTreeMap<String, Vec<ConfigVersion>>,
    /// Answers by request.
    pub(crate) received: BTreeMap<RequestId, ReceivedAnswer>,
    /// Faults that callers met, besides refusals that name other addresses.
    pub(crate) errors: Vec<String>,
}
