use super::*;

/// Reason for a final answer that the router gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request may have run, but its answer was lost.
    AnswerLost,
    /// Targets terminated while they ran the same request. It is refused for this time.
    Quarantined(Duration),
    /// No capacity is expected in time; the request has not run and will not run. The caller may retry
    /// after this time.
    Full(Duration),
    /// This instance ends before the deadline of a request that may run once; the request has not run and will
    /// not run.
    Leaving,
    /// This instance knows no configuration, or none that is recent enough.
    NoConfiguration,
    /// No target or capacity is available; the request has not run and will not run.
    Unavailable(NoPath),
    /// The retry budget of the current window is exhausted; the request has not run and will not run.
    RetryBudgetExhausted,
    /// A part of the prompt is suspected of crashing targets; the request has not run and will not run. The
    /// caller may retry after this time.
    SuspectPart(Duration),
    /// The deadline has passed; the request may have run.
    DeadlineExceeded,
    /// The deadline passed before the request was sent.
    DeadlineExceededUnsent,
    /// The key of the client account is missing or unknown.
    UnknownKey,
    /// No route matches host and path.
    UnknownRoute,
}

impl Refusal {
    /// Name of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::AnswerLost => "answer_lost",
            Self::Quarantined(_) => "crashing",
            Self::Full(_) => "full",
            Self::Leaving => "leaving",
            Self::NoConfiguration => "no_configuration",
            Self::Unavailable(reason) => reason.name(),
            Self::RetryBudgetExhausted => "repeats_used_up",
            Self::SuspectPart(_) => "crashing_part",
            Self::DeadlineExceeded => "time_over",
            Self::DeadlineExceededUnsent => "time_over_unsent",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
        }
    }

    /// HTTP status. 503 guarantees that the request has not run and will not run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Quarantined(_)
            | Self::Full(_)
            | Self::Leaving
            | Self::NoConfiguration
            | Self::Unavailable(_)
            | Self::RetryBudgetExhausted
            | Self::SuspectPart(_)
            | Self::DeadlineExceededUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::AnswerLost => "the answer was lost; check whether the request took effect",
            Self::Quarantined(_) => "targets that ran this request ended; change it or wait",
            Self::SuspectPart(_) => {
                "targets that began to answer a part of this prompt ended; change it or wait"
            }
            Self::Leaving => "this instance is stopping; use another address",
            Self::NoConfiguration => "no current configuration is known here; come back later",
            Self::Full(_) | Self::Unavailable(NoPath::Full) => {
                "all targets are full; come back later"
            }
            Self::Unavailable(NoPath::Paused(_)) => {
                "targets take no requests for a time; come back later"
            }
            Self::Unavailable(NoPath::RateLimited(_)) => {
                "targets limit their requests; come back later"
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

    /// Builds the answer. If the request has not run, `retry-after` tells when the caller may retry.
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
