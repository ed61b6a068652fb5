use super::*;

/// What an engine does for the requests sent to it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Generates tokens from a filled cache.
    Decode,
    /// Does both.
    #[default]
    Mixed,
    /// Fills the cache from prompts.
    Prefill,
}

/// Everything that an engine is meant to hold. A whole state rather than a step, so that sending
/// it twice or after a newer one was seen does no harm.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedState {
    /// Models.
    pub models: Vec<LoadedModel>,
    /// Role.
    pub role: EngineRole,
}

/// Order to one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Version of the order's row in the table.
    pub fence: Fence,
    /// State to reach.
    pub wanted: WantedState,
}
