use super::*;

/// Request to an engine to stop one request and free what it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelRequest {
    /// Newest attempt to stop; later attempts go on.
    pub attempt: Attempt,
    /// Request.
    pub request: RequestId,
}

/// Request to an engine to change the importance of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PriorityRequest {
    /// Attempt.
    pub attempt: Attempt,
    /// Importance.
    pub priority: Priority,
    /// Request.
    pub request: RequestId,
}

/// Request to an engine for the KV cache of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvRequest {
    /// Attempt.
    pub attempt: Attempt,
    /// Request.
    pub request: RequestId,
}

/// KV cache of one request at one stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvCache {
    /// Content, opaque to the router.
    pub data: Arc<str>,
    /// Layers that the cache is of.
    pub layers: LayerRange,
    /// Model.
    pub model: ModelId,
    /// Request.
    pub request: RequestId,
    /// Tokens that the cache covers, counting those of the prompt.
    pub token_count: u32,
}
