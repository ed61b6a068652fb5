use super::*;

/// Tokens that may be missing before one that waits. Records of one stream travel over one
/// connection, so that a longer gap means lost records rather than reordered ones.
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
        .expect("charts/assembly.json names what this file names")
});

/// How an engine broke the protocol of streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// A token came twice with different texts, or the answer ended at two places.
    Conflict,
    /// The token is too far ahead of the next one.
    Gap,
    /// The stream stopped before the answer was complete.
    Incomplete,
    /// The layers were not crossed exactly once and in order.
    Layers,
    /// The record is of an attempt that was never started.
    UnknownAttempt,
}

/// What to do after a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AssemblyStep {
    /// Every token was delivered before.
    Complete {
        /// Why the answer ends.
        reason: FinishReason,
        /// Tokens of the whole answer.
        token_count: TokenIndex,
    },
    /// Give these tokens to the caller, in order.
    Deliver {
        /// Why the answer ends with the last of these tokens, if it does.
        finish: Option<FinishReason>,
        /// Position of the first of the tokens.
        first: TokenIndex,
        /// Texts.
        tokens: Vec<Arc<str>>,
    },
    /// The attempt failed; the answer can go on with a new one.
    Failed(AttemptFailure),
    /// The record adds nothing.
    Ignore,
    /// The engine broke the protocol. Its attempt has ended; the answer can go on with a new one.
    Violation(Violation),
    /// The record is kept until the ones before it have come.
    Wait,
}

/// Puts the tokens of one stream in order, over all attempts to generate it. Each token is
/// delivered exactly once, from the current attempt, after it crossed every layer once.
#[derive(Clone, Debug)]
pub struct Assembly {
    attempt: Attempt,
    /// End of the answer, from an `End` record of the current attempt.
    end: Option<(TokenIndex, FinishReason)>,
    /// Position of the first of `texts`.
    first: TokenIndex,
    /// Tokens of the current attempt after the next one. Invariant: at most `GAP_TOKEN_COUNT`.
    buffered: BTreeMap<TokenIndex, Arc<str>>,
    layer_count: u32,
    state: AssemblyState,
    /// Tokens delivered by this assembly.
    texts: Vec<Arc<str>>,
}

impl Assembly {
    /// Creates an assembly for a model of `layer_count` layers whose caller already has
    /// `delivered_tokens` tokens.
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

    /// Tokens that the caller has.
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

    /// Makes `attempt` the current one; records of earlier attempts are ignored from now on. Has
    /// no effect, and is logged, when the answer is complete or the attempt is not a newer one.
    pub fn start_attempt(&mut self, attempt: Attempt) {
        if attempt <= self.attempt {
            tracing::error!(attempt, current = self.attempt, "attempt is not newer");
            return;
        }
        self.apply_event(AssemblyEvent::Started, None);
        self.attempt = attempt;
    }

    /// Takes one record.
    pub fn accept(&mut self, record: &StreamRecord) -> AssemblyStep {
        let event = match self.classify(record) {
            Err(violation) => return self.reject(violation),
            Ok(event) => event,
        };
        self.apply_event(event, Some(record))
    }

    /// Notes that no more records come from the current attempt. Returns a violation when the
    /// answer is not complete.
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

    /// Text of a token that was delivered here or waits. Texts that the caller had before are not
    /// known.
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

    /// Takes the step that the chart lists.
    fn apply_event(&mut self, event: AssemblyEvent, record: Option<&StreamRecord>) -> AssemblyStep {
        let step = match CHART.step(self.state, event) {
            Err(error) => {
                tracing::error!(%error, "no step in the chart");
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
                    tracing::error!(?action, ?record, "action does not fit the record");
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
