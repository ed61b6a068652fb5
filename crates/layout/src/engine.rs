use super::*;

/// Sizes of a model, and the bandwidth between the engines that hold it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelShape {
    /// Size of the KV cache for one token in one layer, in MB.
    pub kv_mb_per_token_layer: f64,
    /// Number of layers.
    pub layer_count: u32,
    /// Size of one layer, in MB.
    pub layer_mb: f64,
    /// Number of tokens per second whose activations a link between two failure domains can carry.
    pub link_tokens_per_s: f64,
}

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Layers that it holds or is loading; none if it is empty.
    pub held: Option<LayerRange>,
    /// Id, by which ties between engines are broken.
    pub id: EngineId,
    /// Memory for layers and requests, in MB.
    pub memory_mb: f64,
    /// Time of a decode step relative to other engines; larger is slower.
    pub pace: f64,
    /// Requests per second that it takes as the first stage; none if it sets no limit.
    pub request_limit_per_s: Option<f64>,
}

impl Engine {
    /// Maximum number of layers that leave memory for `tokens` tokens in each of them.
    #[must_use]
    pub fn max_layers(&self, shape: &ModelShape, tokens: f64) -> u32 {
        let mb = shape.layer_mb + tokens * shape.kv_mb_per_token_layer;
        let count = (self.memory_mb / mb).floor().max(0.0) as u32;
        count.min(shape.layer_count)
    }

    /// Number of tokens for which memory is left when the engine holds `count` layers.
    pub(crate) fn reserved_tokens(&self, shape: &ModelShape, count: u32) -> f64 {
        let count = f64::from(count.max(1));
        let free_mb = (self.memory_mb - count * shape.layer_mb).max(0.0);
        free_mb / (count * shape.kv_mb_per_token_layer.max(f64::MIN_POSITIVE))
    }
}
