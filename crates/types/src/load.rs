use super::*;

/// A model that an engine holds completely or in part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Adapters and versions that are loaded for the model.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Number of layers in the whole model.
    pub layer_count: u32,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Id of the model.
    pub model: ModelId,
}

/// State that a target reports about itself. Reports lag behind reality.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Time since the values in this report were current, in milliseconds.
    pub age_ms: u64,
    /// Position of the newest cache event.
    pub cache_event_count: u64,
    /// Fence of the newest order that was carried out; 0 for none.
    pub fence: Fence,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// Whether the target has stopped accepting new work.
    pub leaving: bool,
    /// Models that the target holds; empty for a plain service.
    pub models: Vec<LoadedModel>,
    /// Requests currently running.
    pub running_count: u32,
    /// Maximum number of concurrent requests.
    pub slot_count: u32,
    /// Tokens generated or calls served per second, measured over the last second.
    pub rate_per_s: f64,
    /// Requests queued at the target.
    pub waiting_count: u32,
}

/// A change of an engine's prefix cache. Events can arrive late and some can be missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events.
    pub position: u64,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
    /// Whether the prefix is in the cache after the event.
    pub present: bool,
}
