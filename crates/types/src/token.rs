use super::*;

/// One token as reported by the first stage of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRecord {
    /// Attempt that generated the token.
    pub attempt: Attempt,
    /// Position in the whole answer, including the tokens that earlier attempts delivered.
    pub index: TokenIndex,
    /// Layers that processed the token, in order.
    pub layers: Vec<LayerRange>,
    /// Text of the token.
    pub text: Arc<str>,
}

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The token limit was reached.
    Length,
    /// The model ended the answer.
    Stop,
}

/// One line of the stream that an engine sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamRecord {
    /// The answer is complete.
    End {
        /// Attempt that ended.
        attempt: Attempt,
        /// Why the answer ended.
        reason: FinishReason,
        /// Tokens in the whole answer, including those of earlier attempts.
        token_count: TokenIndex,
    },
    /// The attempt failed.
    Failed(AttemptFailure),
    /// One generated token.
    Token(TokenRecord),
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The connection broke after part of the request was sent; the target may have run it.
    Broken,
    /// The target refused the request and did not run it.
    Refused,
    /// The target sent data that violates the protocol.
    Protocol,
    /// The target sent nothing for longer than the idle limit; it may have run the request.
    Silent,
    /// No connection could be established; the target did not run the request.
    Unreachable,
}

impl FailureKind {
    /// Returns whether it is certain that the target did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable)
    }
}

/// Failure of one attempt, attributed to one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptFailure {
    /// Attempt that failed.
    pub attempt: Attempt,
    /// How the attempt failed.
    pub kind: FailureKind,
    /// Target that caused the failure.
    pub target: TargetId,
}
