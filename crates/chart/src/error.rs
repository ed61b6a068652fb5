use super::*;

/// Errors in charts and in their use.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The chart uses a name that the code does not define.
    #[error(
        "chart `{chart}` uses the unknown {kind} `{name}`; correct the chart or add it to the code"
    )]
    Name {
        /// Name of the chart.
        chart: String,
        /// The unknown name.
        name: String,
        /// Kind of the name: `action`, `event` or `state`.
        kind: &'static str,
    },
    /// A transition leads to a state that the chart does not describe.
    #[error(
        "chart `{chart}` leads to state `{state}`, which it does not define; add the state to the chart"
    )]
    Missing {
        /// Name of the chart.
        chart: String,
        /// The missing state.
        state: String,
    },
    /// The text is not a chart.
    #[error("not a chart: {message}; compare it with the other files in `charts`")]
    Syntax {
        /// Why the text cannot be parsed.
        message: String,
    },
    /// The current state has no transition for the event.
    #[error(
        "chart `{chart}` has no transition for `{event}` in state `{state}`; please report this as a bug"
    )]
    Unexpected {
        /// Name of the chart.
        chart: String,
        /// Event that occurred.
        event: String,
        /// Current state.
        state: String,
    },
}
