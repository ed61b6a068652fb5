use super::*;

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Only generates tokens, from a cache that another engine has filled.
    Decode,
    /// Fills the cache and generates tokens.
    #[default]
    Mixed,
    /// Only fills the cache from prompts.
    Prefill,
}

/// Complete state that an engine should reach. It is a state rather than a single step, so that an
/// order can be repeated, or arrive after a newer one, without harm.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedState {
    /// Models to hold, with their layers.
    pub models: Vec<LoadedModel>,
    /// Phases to run.
    pub role: EngineRole,
}

/// An order to one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Version of the order's row in the table, used as the fencing number.
    pub fence: Fence,
    /// State that the engine should reach.
    pub wanted: WantedState,
}
