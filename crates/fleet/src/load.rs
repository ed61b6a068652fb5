/// Load that a target reported with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that it runs.
    pub running_count: u32,
    /// Requests that it runs at once at most.
    pub slot_count: u32,
    /// Requests that wait in its queue.
    pub waiting_count: u32,
}
