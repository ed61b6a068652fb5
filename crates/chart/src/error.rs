use super::*;

/// Faults of charts and of their use.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// A name that the code does not know.
    #[error(
        "chart `{chart}` uses the unknown {kind} `{name}`; correct the chart or add it to the code"
    )]
    Name {
        /// Chart.
        chart: String,
        /// Name.
        name: String,
        /// `action`, `event` or `state`.
        kind: &'static str,
    },
    /// A state that has no entry.
    #[error("chart `{chart}` leads to state `{state}`, which it does not describe; add the state")]
    Missing {
        /// Chart.
        chart: String,
        /// State.
        state: String,
    },
    /// Text that is not a chart.
    #[error("not a chart: {message}; compare it with the other files in `charts`")]
    Syntax {
        /// Cause.
        message: String,
    },
    /// An event that the current state does not take.
    #[error("chart `{chart}` takes no `{event}` in state `{state}`; report this as a defect")]
    Unexpected {
        /// Chart.
        chart: String,
        /// Event.
        event: String,
        /// State.
        state: String,
    },
}
