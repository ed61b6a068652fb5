use super::*;

/// Maximum number of tokens that may be missing before a buffered one. The records of a stream
/// arrive over one connection, so a longer gap means lost records rather than reordered ones.
const MAX_GAP_TOKENS: TokenIndex = 64;

/// States of `charts/assembly.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum AssemblyState {
    Complete,
    Ending,
    Idle,
    Running,
}

/// Events of `charts/assembly.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
enum AssemblyEvent {
    Ended,
    EndedEarly,
    Failed,
    Stale,
    Started,
    Stopped,
    TokenAhead,
    TokenLast,
    TokenNext,
    TokenSeen,
    Violated,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum AssemblyAction {
    Complete,
    Deliver,
    Fail,
    Finish,
    Hold,
    Reject,
    Reset,
    Wait,
}

static CHART: LazyLock<Chart<AssemblyState, AssemblyEvent, AssemblyAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../../../charts/assembly.json"))
        .expect("charts/assembly.json names only known states, events and actions")
});

/// How an engine violated the stream protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A token arrived twice with different texts, a token is beyond the end of the answer, or the
    /// answer ended at two different positions or before delivered tokens.
    Conflict,
    /// A token is too far ahead of the next one to deliver.
    Gap,
    /// The stream of records stopped before the answer was complete.
    Incomplete,
    /// The token did not pass every layer of the model exactly once and in order.
    Layers,
    /// The record belongs to an attempt that was never started.
    UnknownAttempt,
}

/// What the caller of `Assembly` must do after a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssemblyStep {
    /// The answer has ended, and all its tokens were delivered before.
    Complete {
        /// Why the answer ended.
        reason: FinishReason,
        /// Number of tokens of the whole answer.
        token_count: TokenIndex,
    },
    /// Send these tokens to the caller, in order.
    Deliver {
        /// Why the answer ends with the last of these tokens, if it does.
        finish: Option<FinishReason>,
        /// Index of the first of `tokens` in the answer.
        first: TokenIndex,
        /// Texts of consecutive tokens.
        tokens: Vec<Arc<str>>,
    },
    /// The attempt failed. A new attempt can continue the answer.
    Failed(AttemptFailure),
    /// The record is a repetition, belongs to an earlier attempt, or arrived after the end.
    Ignore,
    /// The engine violated the protocol. Its attempt has ended; a new one can continue the answer.
    Violation(Violation),
    /// The record is kept until those before it have arrived.
    Wait,
}

/// Puts the tokens of one stream in order across all attempts to generate it. Each token is
/// delivered exactly once, comes from the attempt that was current then, and has passed every layer
/// exactly once.
#[derive(Clone, Debug)]
pub struct Assembly {
    attempt: Attempt,
    /// Token count and finish reason from the `End` record of the current attempt.
    end: Option<(TokenIndex, FinishReason)>,
    /// Index in the answer of the first of `texts`.
    first: TokenIndex,
    /// Tokens of the current attempt that are ahead of the next one to deliver. Invariant: at most
    /// `MAX_GAP_TOKENS`.
    buffered: BTreeMap<TokenIndex, Arc<str>>,
    layer_count: u32,
    state: AssemblyState,
    /// Texts of the tokens that this assembly has delivered.
    texts: Vec<Arc<str>>,
}

impl Assembly {
    /// Creates an assembly for a model of `layer_count` layers and a caller that already has the
    /// first `delivered_tokens` tokens.
    #[must_use]
    pub fn new(layer_count: u32, delivered_tokens: u32) -> Self {
        Self {
            attempt: 0,
            end: None,
            first: delivered_tokens,
            buffered: BTreeMap::new(),
            layer_count,
            state: CHART.initial(),
            texts: Vec::new(),
        }
    }

    /// Number of tokens that the caller has.
    #[must_use]
    pub fn delivered_tokens(&self) -> TokenIndex {
        let count = TokenIndex::try_from(self.texts.len()).unwrap_or(TokenIndex::MAX);
        self.first.saturating_add(count)
    }

    /// Whether the whole answer was delivered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == AssemblyState::Complete
    }

    /// Makes `attempt` the current one; records of earlier attempts are ignored from now on. If
    /// the answer is complete or the attempt is not newer, this has no effect and is logged.
    pub fn start_attempt(&mut self, attempt: Attempt) {
        if attempt <= self.attempt {
            tracing::error!(
                attempt,
                current = self.attempt,
                "attempt is not newer than the current one"
            );
            return;
        }
        self.apply_event(AssemblyEvent::Started, None);
        self.attempt = attempt;
    }

    /// Processes one record.
    pub fn accept(&mut self, record: &StreamRecord) -> AssemblyStep {
        let event = match self.classify(record) {
            Err(violation) => return self.reject(violation),
            Ok(event) => event,
        };
        self.apply_event(event, Some(record))
    }

    /// Handles the end of the current attempt's stream of records. It is a violation if the attempt
    /// is still running.
    pub fn stream_stopped(&mut self) -> AssemblyStep {
        match self.state {
            AssemblyState::Complete | AssemblyState::Idle => AssemblyStep::Ignore,
            AssemblyState::Ending | AssemblyState::Running => {
                self.apply_event(AssemblyEvent::Stopped, None);
                AssemblyStep::Violation(Violation::Incomplete)
            }
        }
    }

    fn classify(&self, record: &StreamRecord) -> Result<AssemblyEvent, Violation> {
        let attempt = match record {
            StreamRecord::End { attempt, .. } => *attempt,
            StreamRecord::Failed(failure) => failure.attempt,
            StreamRecord::Token(token) => token.attempt,
        };
        let is_inactive = matches!(self.state, AssemblyState::Complete | AssemblyState::Idle);
        if attempt < self.attempt || is_inactive {
            return Ok(AssemblyEvent::Stale);
        }
        if attempt > self.attempt {
            return Err(Violation::UnknownAttempt);
        }
        match record {
            StreamRecord::End {
                reason,
                token_count,
                ..
            } => self.classify_end(*token_count, *reason),
            StreamRecord::Failed(_) => Ok(AssemblyEvent::Failed),
            StreamRecord::Token(token) => self.classify_token(token),
        }
    }

    fn classify_end(
        &self,
        token_count: TokenIndex,
        reason: FinishReason,
    ) -> Result<AssemblyEvent, Violation> {
        let next = self.delivered_tokens();
        let last_buffered = self.buffered.keys().next_back().copied();
        let has_later_token = last_buffered.is_some_and(|index| index >= token_count);
        let contradicts_end = self.end.is_some_and(|end| end != (token_count, reason));
        if token_count < next || has_later_token || contradicts_end {
            return Err(Violation::Conflict);
        }
        if token_count == next {
            return Ok(AssemblyEvent::Ended);
        }
        Ok(AssemblyEvent::EndedEarly)
    }

    fn classify_token(&self, token: &TokenRecord) -> Result<AssemblyEvent, Violation> {
        if !LayerRange::covers(&token.layers, self.layer_count) {
            return Err(Violation::Layers);
        }
        if self.end.is_some_and(|(end, _)| token.index >= end) {
            return Err(Violation::Conflict);
        }
        let known = self.text(token.index);
        if known.is_some_and(|known| *known != token.text) {
            return Err(Violation::Conflict);
        }
        let next = self.delivered_tokens();
        if token.index < next || known.is_some() {
            return Ok(AssemblyEvent::TokenSeen);
        }
        if token.index - next > MAX_GAP_TOKENS {
            return Err(Violation::Gap);
        }
        if token.index > next {
            return Ok(AssemblyEvent::TokenAhead);
        }
        let mut run_end = next + 1;
        while self.buffered.contains_key(&run_end) {
            run_end += 1;
        }
        if self.end.is_some_and(|(end, _)| end == run_end) {
            return Ok(AssemblyEvent::TokenLast);
        }
        Ok(AssemblyEvent::TokenNext)
    }

    /// Text of a token that was delivered here or is buffered. The texts of tokens that the caller
    /// had before are not known.
    fn text(&self, index: TokenIndex) -> Option<&Arc<str>> {
        let buffered = self.buffered.get(&index);
        let Some(position) = index.checked_sub(self.first) else {
            return buffered;
        };
        let position = usize::try_from(position).unwrap_or(usize::MAX);
        buffered.or_else(|| self.texts.get(position))
    }

    fn reject(&mut self, violation: Violation) -> AssemblyStep {
        self.apply_event(AssemblyEvent::Violated, None);
        AssemblyStep::Violation(violation)
    }

    /// Applies the step that the chart lists for an event, and returns the result of its actions.
    fn apply_event(&mut self, event: AssemblyEvent, record: Option<&StreamRecord>) -> AssemblyStep {
        let step = match CHART.step(self.state, event) {
            Err(error) => {
                tracing::error!(%error, "event is not listed in the state chart");
                return AssemblyStep::Ignore;
            }
            Ok(step) => step,
        };
        self.state = step.state;
        let mut result = AssemblyStep::Ignore;
        for action in &step.actions {
            match (action, record, &mut result) {
                (AssemblyAction::Reject | AssemblyAction::Reset, _, _) => {
                    self.end = None;
                    self.buffered.clear();
                }
                (AssemblyAction::Deliver, Some(StreamRecord::Token(token)), _) => {
                    result = self.deliver(token);
                }
                (AssemblyAction::Fail, Some(StreamRecord::Failed(failure)), _) => {
                    result = AssemblyStep::Failed(failure.clone());
                }
                (AssemblyAction::Finish, _, AssemblyStep::Deliver { finish, .. }) => {
                    *finish = self.end.map(|(_, reason)| reason);
                }
                (AssemblyAction::Hold, Some(StreamRecord::Token(token)), _) => {
                    self.buffered.insert(token.index, token.text.clone());
                    result = AssemblyStep::Wait;
                }
                (
                    action,
                    Some(StreamRecord::End {
                        reason,
                        token_count,
                        ..
                    }),
                    _,
                ) => {
                    self.end = Some((*token_count, *reason));
                    result = end_step(*action, *reason, *token_count);
                }
                (action, record, _) => {
                    tracing::error!(?action, ?record, "action does not match the record");
                }
            }
        }
        result
    }

    fn deliver(&mut self, token: &TokenRecord) -> AssemblyStep {
        let first = self.delivered_tokens();
        let mut tokens = vec![token.text.clone()];
        let mut next = first + 1;
        while let Some(text) = self.buffered.remove(&next) {
            tokens.push(text);
            next += 1;
        }
        self.texts.extend(tokens.iter().cloned());
        AssemblyStep::Deliver {
            finish: None,
            first,
            tokens,
        }
    }
}

fn end_step(action: AssemblyAction, reason: FinishReason, token_count: TokenIndex) -> AssemblyStep {
    match action {
        AssemblyAction::Complete => AssemblyStep::Complete {
            reason,
            token_count,
        },
        _ => AssemblyStep::Wait,
    }
}
