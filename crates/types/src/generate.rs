use super::*;

/// Request to the first stage of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateRequest {
    /// Attempt; engines give it back in each record.
    pub attempt: Attempt,
    /// Tokens of the answer that the caller already has. The engine treats them as part of the
    /// prompt and goes on after them.
    pub delivered: Vec<Arc<str>>,
    /// Longest answer, counting the delivered tokens.
    pub max_tokens: u32,
    /// Model.
    pub model: ModelId,
    /// Importance against other requests.
    pub priority: Priority,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Request.
    pub request: RequestId,
    /// All stages.
    pub route: Route,
    /// Seed of sampling.
    pub seed: u64,
}
