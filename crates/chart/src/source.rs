use super::*;

/// A chart as defined in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChartSource {
    /// What the chart describes.
    pub description: String,
    /// Name of the initial state.
    pub initial: String,
    /// Name of the chart, used in messages.
    pub name: String,
    /// States by name.
    pub states: BTreeMap<String, StateSource>,
}

/// A state of a chart.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSource {
    /// Condition that holds in the state.
    pub description: String,
    /// Transitions by the name of their event.
    #[serde(default)]
    pub on: BTreeMap<String, TransitionSource>,
}

/// A transition from one state to another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransitionSource {
    /// Names of the actions, in order.
    #[serde(default)]
    pub actions: Vec<String>,
    /// Name of the next state.
    pub to: String,
}

impl ChartSource {
    /// Parses a chart.
    ///
    /// # Errors
    ///
    /// Returns `Error::Syntax` if the text is not a chart.
    pub fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|error| Error::Syntax {
            message: error.to_string(),
        })
    }
}
