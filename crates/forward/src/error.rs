use super::*;

/// Failures of calls to shared stores and engines.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The call had no effect, and the other side asks for no requests for this time.
    #[error("paused for {} ms; will be retried after that", .0.as_millis())]
    RetryAfter(Duration),
    /// The call had no effect.
    #[error("refused: {0}; will be retried")]
    Refused(String),
    /// The call may have had an effect.
    #[error("no answer: {0}; will be retried")]
    Unknown(String),
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        if error.is_not_sent() {
            return Self::Refused(error.to_string());
        }
        Self::Unknown(error.to_string())
    }
}
