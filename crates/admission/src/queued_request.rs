use super::*;

new_key_type! {
    /// Handle of a request in a `Queue`.
    pub struct QueuedRequestKey;
}

/// A request that waits for capacity.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Client account; empty for requests without one.
    pub account: Arc<str>,
    /// When it arrived at the instance.
    pub arrived_at: Duration,
    /// Until when it must be sent to meet its latency goal.
    pub goal_deadline: Duration,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// Until when it may wait; it is refused afterwards.
    pub deadline: Duration,
}
