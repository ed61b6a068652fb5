use super::*;

/// Generation request to the first stage of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateRequest {
    /// Attempt number; the engine returns it in each record.
    pub attempt: Attempt,
    /// Tokens of the answer that the caller already has. The engine treats them as part of the
    /// prompt and continues after them.
    pub delivered: Vec<Arc<str>>,
    /// Maximum length of the answer, including the delivered tokens.
    pub max_tokens: u32,
    /// Model to run.
    pub model: ModelId,
    /// Priority relative to other requests at the engine.
    pub priority: Priority,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Id of the request.
    pub request: RequestId,
    /// Complete pipeline that runs the request.
    pub route: Route,
    /// Sampling seed.
    pub seed: u64,
}
