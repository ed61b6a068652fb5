use super::*;

/// Asks an engine to stop one request and free its resources.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelRequest {
    /// Newest attempt to stop; later attempts continue.
    pub attempt: Attempt,
    /// Request to stop.
    pub request: RequestId,
}

/// Asks an engine to change the priority of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PriorityRequest {
    /// Attempt whose priority changes.
    pub attempt: Attempt,
    /// New priority; a higher value runs first.
    pub priority: Priority,
    /// Request that the attempt belongs to.
    pub request: RequestId,
}

/// Asks an engine for the KV cache of one attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvRequest {
    /// Attempt whose cache is exported.
    pub attempt: Attempt,
    /// Request that the attempt belongs to.
    pub request: RequestId,
}

/// KV cache of one request at one stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvCache {
    /// Cache content, opaque to the router.
    pub data: Arc<str>,
    /// Layers that the cache covers.
    pub layers: LayerRange,
    /// Model that produced the cache.
    pub model: ModelId,
    /// Request that the cache belongs to.
    pub request: RequestId,
    /// Tokens that the cache covers, including those of the prompt.
    pub token_count: u32,
}
