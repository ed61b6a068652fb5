use super::*;

/// Settings of streams on engines that are leaving.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DepartureSettings {
    /// Time for which a stream may go on at an engine that is leaving, in milliseconds.
    pub grace_ms: u64,
    /// Layers of KV cache, counted per token, that cross a link within a failure domain in one
    /// millisecond. Slower links take longer by the ratio of their costs.
    pub kv_layers_per_ms: f64,
    /// Longest time that a cache may take to move, in milliseconds.
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
