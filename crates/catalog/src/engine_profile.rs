use super::*;

/// Hardware of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HardwareKind {
    /// Memory for layers and requests, in MB of 1,000,000 bytes.
    pub memory_mb: f64,
    /// Name.
    pub name: Arc<str>,
    /// Factor on the time of a token step.
    pub pace: f64,
    /// Factor on the time for reading a prompt.
    pub read_factor: f64,
}

/// Costs of a model on the engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineProfile {
    /// Bytes that each token sends from one stage to the next.
    pub activation_bytes: f64,
    /// Step time for each 1,000 tokens of context of a writing request, in milliseconds.
    pub context_ms_per_thousand: f64,
    /// Bytes of KV cache for one token in all layers.
    pub kv_bytes_per_token: f64,
    /// Kinds of hardware.
    pub kinds: Vec<HardwareKind>,
    /// Layers of the model; 0 when a single engine holds the whole model.
    pub layer_count: u32,
    /// Size of one layer, in MB.
    pub layer_mb: f64,
    /// Bandwidth between two failure domains that all requests share, in Mbit/s.
    pub pipe_mbps: f64,
    /// Prompt tokens read in a second by hardware with a factor of 1 and all layers.
    pub read_tokens_per_s: f64,
    /// Time of a step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Step time for each writing request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Mean tokens in a prompt.
    pub usual_prompt_tokens: f64,
    /// Mean tokens in an answer.
    pub usual_answer_tokens: f64,
}

impl EngineProfile {
    /// Hardware by name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&HardwareKind> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    /// KV cache for one token in one layer, in MB.
    #[must_use]
    pub fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_bytes_per_token / f64::from(self.layer_count.max(1)) / 1e6
    }
}
