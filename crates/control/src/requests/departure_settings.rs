use super::*;

/// Settings for streams on engines that are leaving.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DepartureSettings {
    /// Time for which a stream stays on an engine that is leaving before it is moved, in
    /// milliseconds.
    pub grace_ms: u64,
    /// Transfer rate of KV caches within a failure domain, in layers per token and millisecond:
    /// 1,000 means that 1,000 layers of one token, or one layer of 1,000 tokens, take 1 ms. Slower
    /// links take longer by the ratio of their costs.
    pub kv_layers_per_ms: f64,
    /// Maximum time that a cache move may take, in milliseconds. A move that is expected to take
    /// longer is not started.
    pub move_max_ms: u64,
}

impl Default for DepartureSettings {
    fn default() -> Self {
        Self {
            grace_ms: 30_000,
            kv_layers_per_ms: 1_000.0,
            move_max_ms: 2_000,
        }
    }
}
