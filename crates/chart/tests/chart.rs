//! Guards against unknown names in a chart that are only detected when a step is taken rather than
//! when the chart is loaded.

use {
    chart::{Chart, Error},
    serde::Deserialize,
    yare::parameterized,
};

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum State {
    Closed,
    Open,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum Event {
    Pull,
    Push,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Action {
    Ring,
}

fn text(to: &str, event: &str, action: &str) -> String {
    format!(
        r#"{{"name": "door", "description": "A door.", "initial": "closed", "states": {{
            "closed": {{"description": "Shut.", "on": {{"{event}": {{"to": "{to}", "actions": ["{action}"]}}}}}},
            "open": {{"description": "Not shut."}}
        }}}}"#
    )
}

#[test]
fn step_is_taken_from_the_chart() {
    let chart: Chart<State, Event, Action> = Chart::parse(&text("open", "push", "ring")).unwrap();
    let step = chart.step(chart.initial(), Event::Push).unwrap();
    assert_eq!(step.state, State::Open);
    assert_eq!(step.actions, [Action::Ring]);
    let error = chart.step(State::Closed, Event::Pull).unwrap_err();
    assert!(matches!(error, Error::Unexpected { .. }));
}

#[parameterized(
    action = { "open", "push", "sing", "unknown action `sing`" },
    event = { "open", "kick", "ring", "unknown event `kick`" },
    state = { "ajar", "push", "ring", "leads to state `ajar`" },
)]
fn unknown_names_are_rejected(to: &str, event: &str, action: &str, message: &str) {
    let result: Result<Chart<State, Event, Action>, Error> = Chart::parse(&text(to, event, action));
    assert!(result.unwrap_err().to_string().contains(message));
}
