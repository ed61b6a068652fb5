use super::*;

/// One run of a range of layers for one token.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunEntry {
    /// Attempt.
    pub attempt: Attempt,
    /// Position of the token in the answer.
    pub index: TokenIndex,
    /// Layers.
    pub layers: LayerRange,
    /// Request.
    pub request: RequestId,
}

/// Start of one attempt at one stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartEntry {
    /// Attempt.
    pub attempt: Attempt,
    /// Tokens of the prompt that were not processed, because they were cached or imported.
    pub cached_tokens: u32,
    /// Time since the engine started to leave, in milliseconds.
    pub left_since_ms: Option<u64>,
    /// Position of this engine in the route.
    pub position: usize,
    /// Request.
    pub request: RequestId,
}

/// What an engine ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLog {
    /// Runs in order.
    pub runs: VecDeque<RunEntry>,
    /// Attempts in order of their start.
    pub starts: VecDeque<StartEntry>,
}
