use super::*;

/// Result of one transition.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Step<State, Action> {
    /// Actions to carry out, in order.
    pub actions: Vec<Action>,
    /// Next state.
    pub state: State,
}

/// A state chart whose names are mapped to the enums of the code.
#[derive(Clone, Debug)]
pub struct Chart<State, Event, Action> {
    initial: State,
    name: String,
    steps: BTreeMap<(State, Event), Step<State, Action>>,
}

impl<State, Event, Action> Chart<State, Event, Action>
where
    Action: Clone + DeserializeOwned,
    Event: Copy + Debug + DeserializeOwned + Ord,
    State: Copy + Debug + DeserializeOwned + Ord,
{
    /// Parses a chart and checks every name in it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a chart, uses a name that the enums do not contain, or
    /// has a transition to a state that it does not describe.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let source = ChartSource::parse(text)?;
        let initial = parse_name(&source.name, "state", &source.initial)?;
        let mut steps = BTreeMap::new();
        for (from, state) in &source.states {
            let from = parse_name(&source.name, "state", from)?;
            for (event, transition) in &state.on {
                let event = parse_name(&source.name, "event", event)?;
                steps.insert((from, event), read_step(&source, transition)?);
            }
        }
        Ok(Self {
            initial,
            name: source.name,
            steps,
        })
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Returns all pairs of a state and an event for which the chart has a transition.
    pub fn accepted_events(&self) -> impl Iterator<Item = (State, Event)> {
        self.steps.keys().copied()
    }

    /// Returns the step taken from `state` on `event`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Unexpected` if the chart has no such transition; the state remains
    /// unchanged.
    pub fn step(&self, state: State, event: Event) -> Result<&Step<State, Action>, Error> {
        self.steps
            .get(&(state, event))
            .ok_or_else(|| Error::Unexpected {
                chart: self.name.clone(),
                event: format!("{event:?}"),
                state: format!("{state:?}"),
            })
    }
}

fn parse_name<T: DeserializeOwned>(
    chart: &str,
    kind: &'static str,
    name: &str,
) -> Result<T, Error> {
    serde_json::from_value(serde_json::Value::String(name.into())).map_err(|_| Error::Name {
        chart: chart.into(),
        name: name.into(),
        kind,
    })
}

fn read_step<State: DeserializeOwned, Action: DeserializeOwned>(
    source: &ChartSource,
    transition: &TransitionSource,
) -> Result<Step<State, Action>, Error> {
    if !source.states.contains_key(&transition.to) {
        return Err(Error::Missing {
            chart: source.name.clone(),
            state: transition.to.clone(),
        });
    }
    let mut actions = Vec::new();
    for action in &transition.actions {
        actions.push(parse_name(&source.name, "action", action)?);
    }
    Ok(Step {
        actions,
        state: parse_name(&source.name, "state", &transition.to)?,
    })
}
