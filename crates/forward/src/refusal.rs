use super::*;

/// Final answer of the router itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// Targets that ran such a request ended. It may come back after this time.
    Crashing(Duration),
    /// No room is expected in time; the request has not run and will not run. It may come back after this
    /// time.
    Full(Duration),
    /// No configuration, or none that is fresh enough, is known here.
    NoConfiguration,
    /// No room or no target; the request has not run and will not run.
    NotNow(NoPath),
    /// The repeats of this window are used up; the request has not run and will not run.
    RepeatsUsedUp,
    /// Time is over; the request may have run.
    TimeOver,
    /// Time was over before the request was sent.
    TimeOverUnsent,
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
            Self::Crashing(_) => "crashing",
            Self::Full(_) => "full",
            Self::NoConfiguration => "no_configuration",
            Self::NotNow(reason) => reason.name(),
            Self::RepeatsUsedUp => "repeats_used_up",
            Self::TimeOver => "time_over",
            Self::TimeOverUnsent => "time_over_unsent",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
        }
    }

    /// Status. 503 promises that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Crashing(_)
            | Self::Full(_)
            | Self::NoConfiguration
            | Self::NotNow(_)
            | Self::RepeatsUsedUp
            | Self::TimeOverUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::AnswerLost => "the answer was lost; check whether the request took effect",
            Self::Crashing(_) => "targets that ran this request ended; change it or wait",
            Self::NoConfiguration => "no current configuration is known here; come back later",
            Self::Full(_) | Self::NotNow(NoPath::Full) => "all targets are full; come back later",
            Self::NotNow(NoPath::Paused(_)) => {
                "targets take no requests for a time; come back later"
            }
            Self::NotNow(_) => "no target can serve this now; come back later",
            Self::RepeatsUsedUp => "the target refused, and no repeat is left; come back later",
            Self::TimeOver => "no answer came in time; check whether the request took effect",
            Self::TimeOverUnsent => "the time was over before a target was found; send it again",
            Self::UnknownKey => "the key is missing or unknown; send a valid one",
            Self::UnknownRoute => "no route matches; check host and path",
        }
    }

    /// The answer, with the time after which a caller may come back where the request has not run.
    #[must_use]
    pub fn response(self, return_after: Duration) -> Response {
        let status = self.status();
        let mut response = wire::text(status, format!("{}\n", self.message()));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.2}", return_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
