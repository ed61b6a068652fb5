use super::*;

/// Occurrence that the threads that do the input and output report to the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt of a generation or call failed at a target.
    AttemptFailed {
        /// Tokens of the answer that the caller has.
        delivered_tokens: u32,
        /// How the attempt failed, and the target to blame.
        failure: AttemptFailure,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// An engine published changes of its prefix cache.
    CacheEventsReceived {
        /// Changes of the cache, in order of position.
        events: Vec<CacheEvent>,
        /// Id of the engine.
        target: TargetId,
    },
    /// The copy that `Command::MoveCache` started has ended.
    CacheMoved {
        /// Attempt whose cache was to be exported.
        attempt: Attempt,
        /// Id of the leaving engine.
        from: TargetId,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Number of tokens that the imported cache covers, those of the prompt included.
        result: Result<u32, FailureKind>,
    },
    /// A service replied to a call.
    CallCompleted {
        /// Number of the attempt that the reply belongs to.
        attempt: Attempt,
        /// Status and body of the service's reply.
        reply: CallReply,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// A caller sent a call.
    CallSubmitted(CallSubmission),
    /// The caller of a request disconnected.
    CallerGone {
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// A peer sent changes of the operator lists.
    ChangesReceived {
        /// Changes in order of version.
        records: Vec<ChangeRecord>,
    },
    /// The process was asked to shut down gracefully.
    DrainStarted,
    /// An operator sent an edit.
    EditSubmitted {
        /// Version that the edit is based on; the edit is rejected if the lists have another one.
        /// None skips this check.
        base_version: Option<ConfigVersion>,
        /// Requested change of the lists.
        change: Change,
        /// Id that the operator gave the edit.
        operation: OperationId,
    },
    /// An engine completed an answer.
    GenerateCompleted {
        /// Number of the attempt that completed.
        attempt: Attempt,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Number of tokens of the whole answer.
        token_count: u32,
    },
    /// A caller sent a prompt, or resumed a stream that another instance served.
    GenerateSubmitted(GenerateSubmission),
    /// A heartbeat could not be delivered.
    HeartbeatFailed {
        /// Id of the peer that could not be reached.
        peer: InstanceId,
    },
    /// A peer sent a heartbeat.
    HeartbeatReceived(Heartbeat),
    /// A peer sent both operator lists as a whole.
    ListsReceived(Arc<OperatorLists>),
    /// The platform's list of instances and targets was read.
    ListingRead {
        /// All rows of the list.
        listings: Vec<Listing>,
    },
    /// A poll of a target failed.
    LoadFailed {
        /// How it failed.
        kind: FailureKind,
        /// Id of the target.
        target: TargetId,
    },
    /// A poll of a target succeeded.
    LoadReceived {
        /// Load that the target reported.
        report: LoadReport,
        /// Id of the target.
        target: TargetId,
    },
    /// An engine refused or did not answer an order.
    OrderFailed {
        /// Order that failed.
        order: Order,
        /// Id of the engine.
        target: TargetId,
    },
    /// A peer answered `Command::AskOwner`.
    OwnerAnswered {
        /// Id of the peer that was asked.
        owner: InstanceId,
        /// Request that waits for the answer.
        request: RequestId,
        /// What the peer says about the call.
        status: OwnerStatus,
    },
    /// A stream delivered tokens to its caller. Sent at the first token and then from time to time.
    Progressed {
        /// Tokens of the answer that the caller has.
        delivered_tokens: u32,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// The table service replied to `Command::Store`, or the request failed.
    StoreReplied {
        /// Reply, or how the request failed.
        result: Result<StoreReply, StoreFailure>,
        /// Ticket of the command.
        ticket: StoreTicket,
    },
    /// Time passed. Sent every 50 ms.
    Ticked,
}

/// How a question to a peer identifies a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallQuery {
    /// By key, whichever claim the peer has for it.
    Key {
        /// Hash of the body that was submitted with the key.
        body_hash: Arc<str>,
        /// Key of the call row, which contains the account.
        key: Arc<str>,
    },
    /// By the nonce of its claim.
    Nonce(Nonce),
}

/// What the owner of a non-repeatable call says about it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerStatus {
    /// The call has ended, with this outcome.
    Ended(CallOutcome),
    /// The owner did not reply.
    NoReply,
    /// The call is running, or is waiting for its claim or for a target.
    Running,
    /// The process that now has the owner's id does not know this claim.
    UnknownClaim,
}
