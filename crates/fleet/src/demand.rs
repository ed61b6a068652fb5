use super::*;

/// What a request needs of its targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Expected tokens of the answer; 0 for services without a model.
    pub answer_tokens: f64,
    /// Targets that must not be chosen because they already failed this request.
    pub excluded: Vec<TargetKey>,
    /// Maximum expected time until the first event, in milliseconds; none for no limit.
    pub first_event_limit_ms: Option<f64>,
    /// Longest time that the request can wait for a permit of a target that limits its requests.
    pub max_permit_wait: Duration,
    /// Stage that must come first because it already runs the request; none if the first stage is
    /// free to choose.
    pub pinned_first: Option<Stage>,
    /// Whether `FleetSettings::urgent_reserve_share` of the memory must stay free for more urgent
    /// requests.
    pub keeps_urgent_reserve: bool,
    /// Tokens of the prompt; 0 for services without a model.
    pub prompt_tokens: f64,
}

impl Demand {
    /// Tokens that occupy memory when the answer is complete.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
