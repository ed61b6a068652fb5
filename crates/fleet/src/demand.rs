use super::*;

/// What a request needs of its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Expected tokens of the answer; 0 for plain services.
    pub answer_tokens: f64,
    /// Targets that must not be used, because they failed this request.
    pub excluded: Vec<TargetKey>,
    /// Longest expected time until the first event, in milliseconds; none if any is acceptable.
    pub first_event_limit_ms: Option<f64>,
    /// First stage, where the request is already there and cannot be sent to another one.
    pub first: Option<Stage>,
    /// Whether room must be left for more urgent requests.
    pub leaves_room: bool,
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: f64,
}

impl Demand {
    /// Tokens that take memory at the end of the answer.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
