use super::*;

/// Capabilities of one kind of hardware that engines run on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HardwareKind {
    /// Memory for layers and requests, in MB of 1,000,000 bytes.
    pub memory_mb: f64,
    /// Name by which engines refer to this kind.
    pub name: Arc<str>,
    /// Factor on the duration of a decode step; a higher value is slower.
    pub pace: f64,
    /// Factor on the duration of prompt processing; a higher value is slower.
    pub read_factor: f64,
}

/// Resource costs of a model on the engines of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineProfile {
    /// Bytes that each token transfers from one stage to the next.
    pub activation_bytes: f64,
    /// Additional step time for each 1,000 context tokens of a decoding request, in milliseconds.
    pub context_ms_per_thousand: f64,
    /// Size of the KV cache of one token across all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Kinds of hardware that the engines run on.
    pub kinds: Vec<HardwareKind>,
    /// Number of layers in the model; 0 if a single engine holds the whole model.
    pub layer_count: u32,
    /// Size of one layer, in MB.
    pub layer_mb: f64,
    /// Bandwidth between two failure domains, shared by all requests, in Mbit/s.
    pub pipe_mbps: f64,
    /// Prompt tokens processed per second by hardware with a factor of 1 that holds all layers.
    pub read_tokens_per_s: f64,
    /// Duration of a decode step through all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional step time for each decoding request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Mean prompt length, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer length, in tokens.
    pub usual_answer_tokens: f64,
}

impl EngineProfile {
    /// Returns the kind of hardware with a name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&HardwareKind> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    /// Returns the size of the KV cache of one token in one layer, in MB.
    #[must_use]
    pub fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_bytes_per_token / f64::from(self.layer_count.max(1)) / 1e6
    }
}
