use super::*;

/// Outcome of a call as its caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The operation was not run, and the call may be sent again.
    NotRun,
    /// The operation ran and returned this body.
    Ran(String),
    /// It is unknown whether the operation ran; it will not be run again.
    Unknown,
}

/// One call that a caller sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CallRecord {
    /// Sequence number of the call among all starts and outcomes of calls.
    pub(crate) started_at: u64,
    /// Idempotency key of the call.
    pub(crate) key: String,
    /// Sequence number and value of the outcome; none until the reply arrives.
    pub(crate) outcome: Option<(u64, CallOutcome)>,
}

/// Record of an engine that ran its layers for one token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerRun {
    /// Number of the attempt within its request.
    pub attempt: u32,
    /// Position of the token in the answer, from 0.
    pub index: TokenIndex,
    /// Layers that were run.
    pub layers: LayerRange,
    /// Id of the request.
    pub request: RequestId,
}

/// The part of an answer that its caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedAnswer {
    /// Whether the caller stopped reading before the end on purpose.
    pub(crate) is_abandoned: bool,
    /// Whether the end of the answer was received.
    pub(crate) is_complete: bool,
    /// Tokens in the order in which they arrived, with the request in the id of their event.
    pub(crate) tokens: Vec<(RequestId, TokenIndex, String)>,
}

/// All records of a recorder.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Accepted edits, in the order in which their operators received the reply.
    pub(crate) accepted: Vec<(OperationId, ConfigVersion)>,
    /// Calls in the order in which they were sent.
    pub(crate) calls: Vec<CallRecord>,
    /// Number of runs of non-repeatable operations by idempotency key, over all services.
    pub(crate) executed: BTreeMap<String, u64>,
    /// Whether the log of a service is lost. Operations that seem not to have run may then have
    /// run.
    pub(crate) is_execution_log_lost: bool,
    /// Whether the log of an engine is lost. Layers that seem to be missing may then have run.
    pub(crate) is_engine_log_lost: bool,
    /// Layers that engines ran, in the order of each engine's log, one engine after another.
    pub(crate) layers: Vec<LayerRun>,
    /// Last sequence number that was assigned to the start or outcome of a call.
    pub(crate) entry_count: u64,
    /// Configuration versions that each instance reported, in order of time.
    pub(crate) observed: BTreeMap<String, Vec<ConfigVersion>>,
    /// Received answers by request.
    pub(crate) received: BTreeMap<RequestId, ReceivedAnswer>,
    /// Errors that callers encountered, except refusals that name other addresses.
    pub(crate) errors: Vec<String>,
}
