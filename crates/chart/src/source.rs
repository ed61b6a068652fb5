use super::*;

/// A chart as its file holds it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChartSource {
    /// What the chart describes.
    pub description: String,
    /// First state.
    pub initial: String,
    /// Name.
    pub name: String,
    /// States by name.
    pub states: BTreeMap<String, StateSource>,
}

/// One state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSource {
    /// What holds in the state.
    pub description: String,
    /// Transitions by event.
    #[serde(default)]
    pub on: BTreeMap<String, TransitionSource>,
}

/// One transition.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransitionSource {
    /// Actions in order.
    #[serde(default)]
    pub actions: Vec<String>,
    /// Next state.
    pub to: String,
}

impl ChartSource {
    /// Reads a chart.
    ///
    /// # Errors
    ///
    /// Returns `Error::Syntax` when the text is not a chart.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|error| Error::Syntax {
            message: error.to_string(),
        })
    }
}
