/// Load of a target, as reported with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that are running.
    pub running_count: u32,
    /// Maximum number of requests that run at once.
    pub slot_count: u32,
    /// Requests that are waiting in the target's queue.
    pub waiting_count: u32,
}
