use super::*;

/// What happened, as the traffic threads report it to the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt of a generation or call failed at a target.
    AttemptFailed {
        /// Tokens of the answer that the caller has.
        delivered_tokens: u32,
        /// Failure.
        failure: AttemptFailure,
        /// Request.
        request: RequestId,
    },
    /// An engine published changes of its prefix cache.
    CacheEventsReceived {
        /// Changes in order of position.
        events: Vec<CacheEvent>,
        /// Engine.
        target: TargetId,
    },
    /// `Command::MoveCache` has ended.
    CacheMoved {
        /// Attempt whose cache was to be exported.
        attempt: Attempt,
        /// Engine that is leaving.
        from: TargetId,
        /// Request.
        request: RequestId,
        /// Tokens that the imported cache covers, counting those of the prompt.
        result: Result<u32, FailureKind>,
    },
    /// A service replied to a call.
    CallCompleted {
        /// Attempt that was replied to.
        attempt: Attempt,
        /// Reply.
        reply: CallReply,
        /// Request.
        request: RequestId,
    },
    /// A caller sent a call.
    CallSubmitted(CallSubmission),
    /// The caller of a request disconnected.
    CallerGone {
        /// Request.
        request: RequestId,
    },
    /// A peer sent changes of the lists, in order of version.
    ChangesReceived {
        /// Changes.
        records: Vec<ChangeRecord>,
    },
    /// The process was asked to stop gracefully.
    DrainStarted,
    /// An operator sent an edit.
    EditSubmitted {
        /// Version that the operator has seen; none accepts any.
        base_version: Option<ConfigVersion>,
        /// Edit.
        change: Change,
        /// Operator's id of the edit.
        operation: OperationId,
    },
    /// An engine completed an answer.
    GenerateCompleted {
        /// Attempt that completed.
        attempt: Attempt,
        /// Request.
        request: RequestId,
        /// Tokens of the whole answer.
        token_count: u32,
    },
    /// A caller sent a prompt, or resumes a stream that another instance served.
    GenerateSubmitted(GenerateSubmission),
    /// A heartbeat could not be delivered.
    HeartbeatFailed {
        /// Peer that did not take it.
        peer: InstanceId,
    },
    /// A peer sent a heartbeat.
    HeartbeatReceived(Heartbeat),
    /// A peer sent both lists as a whole.
    ListsReceived(Arc<OperatorLists>),
    /// The platform's list was read.
    ListingRead {
        /// Rows.
        listings: Vec<Listing>,
    },
    /// A poll of a target failed.
    LoadFailed {
        /// How it failed.
        kind: FailureKind,
        /// Target.
        target: TargetId,
    },
    /// A poll of a target succeeded.
    LoadReceived {
        /// Report.
        report: LoadReport,
        /// Target.
        target: TargetId,
    },
    /// An engine refused or did not answer an order.
    OrderFailed {
        /// Order.
        order: Order,
        /// Engine.
        target: TargetId,
    },
    /// A peer answered `Command::AskOwner`.
    OwnerAnswered {
        /// Peer that was asked.
        owner: InstanceId,
        /// Request that asked.
        request: RequestId,
        /// Answer.
        status: OwnerStatus,
    },
    /// A stream delivered tokens; sent at the first token and then now and then.
    Progressed {
        /// Tokens of the answer that the caller has.
        delivered_tokens: u32,
        /// Request.
        request: RequestId,
    },
    /// The table service replied, or will not.
    StoreReplied {
        /// Reply.
        result: Result<StoreReply, StoreFailure>,
        /// Ticket of the command.
        ticket: StoreTicket,
    },
    /// Time passed. Sent every 50 ms.
    Ticked,
}

/// Call that a peer is asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallQuery {
    /// Any claim of a key.
    Key {
        /// Hash of the body that came with the key.
        body_hash: Arc<str>,
        /// Key of the row.
        key: Arc<str>,
    },
    /// The claim with this nonce.
    Nonce(Nonce),
}

/// What the owner of a non-repeatable call says of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerStatus {
    /// The call has ended, with this outcome.
    Ended(CallOutcome),
    /// The owner did not reply.
    NoReply,
    /// The call is running, or waits for a target.
    Running,
    /// The process under the owner's id did not make this claim.
    UnknownClaim,
}
