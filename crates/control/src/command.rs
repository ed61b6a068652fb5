use super::*;

/// Instruction of the control thread to the threads that do the input and output.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends a call its final answer.
    AnswerCall {
        /// What became of the call.
        outcome: CallOutcome,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// Sends an edit its final answer.
    AnswerEdit {
        /// What became of the edit.
        answer: EditAnswer,
        /// Id that the operator gave the edit.
        operation: OperationId,
    },
    /// Asks a peer what became of a call. `Event::OwnerAnswered` reports the answer.
    AskOwner {
        /// Id of the peer.
        owner: InstanceId,
        /// Address at which the peer accepts messages of other instances.
        peer_address: SocketAddr,
        /// Key or nonce of the call.
        query: CallQuery,
        /// Request that waits for the answer of the peer.
        request: RequestId,
    },
    /// Stops an attempt at all engines of its route.
    Cancel {
        /// Number of the attempt, which events about it repeat.
        attempt: Attempt,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Engines that run the attempt, by stage.
        route: Route,
    },
    /// Sends a call to a service.
    DispatchCall {
        /// Address at which the target accepts requests.
        address: SocketAddr,
        /// Number of the attempt, which events about it repeat.
        attempt: Attempt,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Id of the target.
        target: TargetId,
    },
    /// Sends a prompt to the first stage of a route.
    DispatchGenerate {
        /// Number of the attempt, which events about it repeat.
        attempt: Attempt,
        /// Peer that keeps a copy of the journal of the stream, with its address; none without such
        /// a peer.
        backup: Option<(InstanceId, SocketAddr)>,
        /// Priority of the request at the engines.
        priority: Priority,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Engines that are to run the attempt, by stage.
        route: Route,
    },
    /// Asks a peer for the changes of the operator lists after a version.
    FetchChanges {
        /// Version of the lists that this instance has.
        after: ConfigVersion,
        /// Id of the peer.
        peer: InstanceId,
        /// Address at which the peer accepts messages of other instances.
        peer_address: SocketAddr,
    },
    /// Writes a decision to the log.
    Log(Decision),
    /// Copies the KV cache of one stage of a running stream from a leaving engine to its
    /// replacement. The attempt goes on meanwhile. `Event::CacheMoved` reports the end.
    MoveCache {
        /// Attempt whose cache is exported.
        attempt: Attempt,
        /// Id of the leaving engine, which exports the cache.
        from: TargetId,
        /// Address of the leaving engine.
        from_address: SocketAddr,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Id of the replacement, which imports the cache.
        to: TargetId,
        /// Address of the replacement.
        to_address: SocketAddr,
    },
    /// Polls a target for its load.
    Poll {
        /// Address at which the target accepts requests.
        address: SocketAddr,
        /// Position of the last cache event that was received from the target.
        cache_event_count: u64,
        /// Whether the target is an engine, which also publishes cache events.
        is_engine: bool,
        /// Id of the target.
        target: TargetId,
    },
    /// Uses these lists from now on to authenticate callers and to check their requests.
    PublishLists(Arc<OperatorLists>),
    /// Sends changes of the operator lists to a peer.
    PushChanges {
        /// Id of the peer.
        peer: InstanceId,
        /// Address at which the peer accepts messages of other instances.
        peer_address: SocketAddr,
        /// Changes in order of version.
        records: Vec<ChangeRecord>,
    },
    /// Reads the platform's list of instances and targets.
    ReadListing,
    /// Refuses a prompt, which is its final answer.
    Refuse {
        /// Reason, and the time after which the caller may retry.
        refusal: Refusal,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
    },
    /// Sends a heartbeat to a peer.
    SendHeartbeat {
        /// State of this instance, as the peer is told.
        heartbeat: Heartbeat,
        /// Id of the peer.
        peer: InstanceId,
        /// Address at which the peer accepts messages of other instances.
        peer_address: SocketAddr,
    },
    /// Sends an order to an engine. `Event::OrderFailed` reports that it was not accepted.
    SendOrder {
        /// Address at which the engine accepts orders.
        address: SocketAddr,
        /// Models that the engine is to hold, with the fence of the order.
        order: Order,
        /// Id of the engine.
        target: TargetId,
    },
    /// Changes the priority of a running request.
    SetPriority {
        /// Number of the attempt, which events about it repeat.
        attempt: Attempt,
        /// New priority of the request.
        priority: Priority,
        /// Id of the request, as given when it was submitted.
        request: RequestId,
        /// Engines that run the attempt, by stage.
        route: Route,
    },
    /// Ends the process: all work in progress has ended, and the addresses that callers cached have
    /// expired.
    Stop,
    /// Sends a request to the table service. `Event::StoreReplied` reports its result.
    Store {
        /// Read, scan or transaction.
        request: StoreRequest,
        /// Ticket that the event of the reply must carry.
        ticket: StoreTicket,
    },
}
