use super::*;

/// A model that an engine holds, in whole or in part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Adapters and versions loaded for the model.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Layers of the whole model.
    pub layer_count: u32,
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Model.
    pub model: ModelId,
}

/// What a target reports of itself. Reports lag.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Time since the numbers in this report were true, in milliseconds.
    pub age_ms: u64,
    /// Position of the newest cache event.
    pub cache_event_count: u64,
    /// Fence of the newest order that was carried out; 0 for none.
    pub fence: Fence,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// Models held; empty for a service.
    pub models: Vec<LoadedModel>,
    /// Requests running.
    pub running_count: u32,
    /// Requests that can run at once.
    pub slot_count: u32,
    /// Tokens generated per second, or calls served per second, over the last second.
    pub rate_per_s: f64,
    /// Requests waiting.
    pub waiting_count: u32,
}

/// A change of an engine's prefix cache. Events come late and with gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Position in the engine's series of events.
    pub position: u64,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
    /// Whether the prefix is now in the cache.
    pub present: bool,
}
