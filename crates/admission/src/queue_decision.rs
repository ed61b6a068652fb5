use super::*;

/// What a request that waits is to do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// Give up, as no room is expected in time. Its caller may come back after this time.
    Refuse(Duration),
    /// Look for room.
    Try,
    /// Wait on.
    Wait,
}
