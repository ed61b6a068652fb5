use super::*;

/// Record of an engine that ran its layers for one token.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunEntry {
    /// Number of the attempt within its request.
    pub attempt: Attempt,
    /// Position of the token in the answer, from 0.
    pub index: TokenIndex,
    /// Layers that were run.
    pub layers: LayerRange,
    /// Id of the request.
    pub request: RequestId,
}

/// Record of the start of an attempt at one stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartEntry {
    /// Number of the attempt within its request.
    pub attempt: Attempt,
    /// Tokens of the prompt that were skipped because they were cached or imported.
    pub cached_tokens: u32,
    /// Time since the engine began its graceful shutdown, in milliseconds; none if it had not.
    pub left_since_ms: Option<u64>,
    /// Position of this engine's stage in the route, from 0.
    pub position: usize,
    /// Id of the request.
    pub request: RequestId,
}

/// What an engine ran, as `GET /log` returns it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLog {
    /// Layer runs in the order in which they finished; the oldest are dropped above the limit.
    pub runs: VecDeque<RunEntry>,
    /// Attempts in the order in which they started; the oldest are dropped above the limit.
    pub starts: VecDeque<StartEntry>,
}
