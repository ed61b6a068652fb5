use super::*;

/// Final answer of the router itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// Targets that ran such a request ended. It may come back after this time.
    Quarantined(Duration),
    /// No room is expected in time; the request has not run and will not run. It may come back after this
    /// time.
    Full(Duration),
    /// No configuration, or none that is fresh enough, is known here.
    NoConfiguration,
    /// No room or no target; the request has not run and will not run.
    Unavailable(NoPath),
    /// The repeats of this window are used up; the request has not run and will not run.
    RetryBudgetExhausted,
    /// Time is over; the request may have run.
    DeadlineExceeded,
    /// Time was over before the request was sent.
    DeadlineExceededUnsent,
    /// The key is missing or unknown.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
}

impl Refusal {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerLost => "answer_lost",
            Self::Quarantined(_) => "crashing",
            Self::Full(_) => "full",
            Self::NoConfiguration => "no_configuration",
            Self::Unavailable(reason) => reason.name(),
            Self::RetryBudgetExhausted => "repeats_used_up",
            Self::DeadlineExceeded => "time_over",
            Self::DeadlineExceededUnsent => "time_over_unsent",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
        }
    }

    /// Status. 503 promises that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Quarantined(_)
            | Self::Full(_)
            | Self::NoConfiguration
            | Self::Unavailable(_)
            | Self::RetryBudgetExhausted
            | Self::DeadlineExceededUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::AnswerLost => "the answer was lost; check whether the request took effect",
            Self::Quarantined(_) => "targets that ran this request ended; change it or wait",
            Self::NoConfiguration => "no current configuration is known here; come back later",
            Self::Full(_) | Self::Unavailable(NoPath::Full) => {
                "all targets are full; come back later"
            }
            Self::Unavailable(NoPath::Paused(_)) => {
                "targets take no requests for a time; come back later"
            }
            Self::Unavailable(_) => "no target can serve this now; come back later",
            Self::RetryBudgetExhausted => {
                "the target refused, and no repeat is left; come back later"
            }
            Self::DeadlineExceeded => {
                "no answer came in time; check whether the request took effect"
            }
            Self::DeadlineExceededUnsent => {
                "the time was over before a target was found; send it again"
            }
            Self::UnknownKey => "the key is missing or unknown; send a valid one",
            Self::UnknownRoute => "no route matches; check host and path",
        }
    }

    /// The answer, with the time after which a caller may come back where the request has not run.
    #[must_use]
    pub fn response(self, retry_after: Duration) -> Response {
        let status = self.status();
        let mut response = wire::text(status, format!("{}\n", self.message()));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
