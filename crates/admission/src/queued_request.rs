use super::*;

new_key_type! {
    /// Handle of a request that waits.
    pub struct QueuedRequestKey;
}

/// A request that waits for room.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Client account; empty for requests of none.
    pub account: Arc<str>,
    /// When it arrived.
    pub arrived_at: Duration,
    /// Until when its goal can be kept if it is sent.
    pub goal_deadline: Duration,
    /// Rank; 0 comes first.
    pub rank: u32,
    /// Until when it is worth sending.
    pub deadline: Duration,
}
