use super::*;

/// What the record of non-repeatable calls decided.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordEffect {
    /// Give this final answer.
    Answer {
        /// Answer.
        outcome: CallOutcome,
        /// Request.
        request: RequestId,
    },
    /// The claim is durable; the call may be dispatched.
    Cleared {
        /// Request.
        request: RequestId,
    },
}
