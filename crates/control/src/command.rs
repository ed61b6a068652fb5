use super::*;

/// What the traffic threads are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Give the final answer to a call.
    AnswerCall {
        /// Answer.
        outcome: CallOutcome,
        /// Request.
        request: RequestId,
    },
    /// Give the final answer to an edit.
    AnswerEdit {
        /// Answer.
        answer: EditAnswer,
        /// Operator's id of the edit.
        operation: OperationId,
    },
    /// Ask a peer what became of a call.
    AskOwner {
        /// Peer.
        owner: InstanceId,
        /// Address of the peer.
        peer_address: SocketAddr,
        /// Call that is asked for.
        query: CallQuery,
        /// Request that waits for the answer.
        request: RequestId,
    },
    /// Stop an attempt and free the engines that run it.
    Cancel {
        /// Attempt.
        attempt: Attempt,
        /// Request.
        request: RequestId,
        /// Route of the attempt.
        route: Route,
    },
    /// Send a call to a service.
    DispatchCall {
        /// Address of the target.
        address: SocketAddr,
        /// Attempt.
        attempt: Attempt,
        /// Request.
        request: RequestId,
        /// Target.
        target: TargetId,
    },
    /// Send a prompt to the first stage of a route.
    DispatchGenerate {
        /// Attempt.
        attempt: Attempt,
        /// Peer that keeps the copy of the journal, with its address.
        backup: Option<(InstanceId, SocketAddr)>,
        /// Importance at the engines.
        priority: Priority,
        /// Request.
        request: RequestId,
        /// Route.
        route: Route,
    },
    /// Ask a peer for the changes after a version.
    FetchChanges {
        /// Version that this instance has.
        after: ConfigVersion,
        /// Peer.
        peer: InstanceId,
        /// Address of the peer.
        peer_address: SocketAddr,
    },
    /// Write a decision to the log.
    Log(Decision),
    /// Copy the KV cache of one stage of a running stream from a leaving engine to the engine that
    /// is to replace it: export there, import here. The attempt goes on meanwhile. The end is
    /// reported with `Event::CacheMoved`.
    MoveCache {
        /// Attempt whose cache is exported.
        attempt: Attempt,
        /// Engine that is leaving.
        from: TargetId,
        /// Address of the engine that is leaving.
        from_address: SocketAddr,
        /// Request.
        request: RequestId,
        /// Replacement.
        to: TargetId,
        /// Address of the replacement.
        to_address: SocketAddr,
    },
    /// Poll a target's load.
    Poll {
        /// Address of the target.
        address: SocketAddr,
        /// Position of the last cache event received.
        cache_event_count: u64,
        /// Whether the target is an engine, which also publishes cache events.
        is_engine: bool,
        /// Target.
        target: TargetId,
    },
    /// Use these lists for sign-in and checks of requests from now on.
    PublishLists(Arc<OperatorLists>),
    /// Send changes to a peer.
    PushChanges {
        /// Peer.
        peer: InstanceId,
        /// Address of the peer.
        peer_address: SocketAddr,
        /// Changes in order of version.
        records: Vec<ChangeRecord>,
    },
    /// Read the platform's list of instances.
    ReadListing,
    /// Give the final answer to a prompt: it is refused.
    Refuse {
        /// Reason and time to come back.
        refusal: Refusal,
        /// Request.
        request: RequestId,
    },
    /// Send a heartbeat to a peer.
    SendHeartbeat {
        /// Heartbeat.
        heartbeat: Heartbeat,
        /// Peer.
        peer: InstanceId,
        /// Address of the peer.
        peer_address: SocketAddr,
    },
    /// Send an order to an engine.
    SendOrder {
        /// Address of the engine.
        address: SocketAddr,
        /// Order.
        order: Order,
        /// Engine.
        target: TargetId,
    },
    /// Change the importance of a running request.
    SetPriority {
        /// Attempt.
        attempt: Attempt,
        /// Importance.
        priority: Priority,
        /// Request.
        request: RequestId,
        /// Route of the attempt.
        route: Route,
    },
    /// Everything in progress has ended and callers' cached addresses have expired: the process
    /// may stop.
    Stop,
    /// Send a request to the table service.
    Store {
        /// Request.
        request: StoreRequest,
        /// Ticket to give back with the reply.
        ticket: StoreTicket,
    },
}
