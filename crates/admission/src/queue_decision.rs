use super::*;

/// What a waiting request must do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// Give up, as no capacity is expected before its deadline. The caller may retry after this time.
    Refuse(Duration),
    /// Try to get capacity at a target.
    Try,
    /// Keep waiting.
    Wait,
}
