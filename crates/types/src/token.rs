use super::*;

/// One token as the first stage of a route reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRecord {
    /// Attempt that made the token.
    pub attempt: Attempt,
    /// Position in the whole answer, counting the tokens that earlier attempts delivered.
    pub index: TokenIndex,
    /// Layers that the token crossed, in order.
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
        /// Reason.
        reason: FinishReason,
        /// Tokens of the whole answer, counting those of earlier attempts.
        token_count: TokenIndex,
    },
    /// The attempt failed.
    Failed(AttemptFailure),
    /// One token.
    Token(TokenRecord),
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The connection broke after bytes of the request were sent; the target may have run it.
    Broken,
    /// The target refused the work and did not run it.
    Refused,
    /// The target sent something that its protocol does not allow.
    Protocol,
    /// The target sent nothing for longer than the idle limit; it may have run the request.
    Silent,
    /// No connection could be made; the target did not run the request.
    Unreachable,
}

impl FailureKind {
    /// Whether the target certainly did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable)
    }
}

/// Failure of one attempt, blamed on one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptFailure {
    /// Attempt that failed.
    pub attempt: Attempt,
    /// How it failed.
    pub kind: FailureKind,
    /// Target that failed.
    pub target: TargetId,
}
