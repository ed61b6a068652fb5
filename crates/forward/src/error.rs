use super::*;

/// Failures of shared stores and engines that others keep.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// Nothing was done, and the other side wants no requests for this time.
    #[error("asked to come back after {} ms; it is tried again then", .0.as_millis())]
    RetryAfter(Duration),
    /// Nothing was done.
    #[error("refused: {0}; it is tried again")]
    Refused(String),
    /// It is not known whether anything was done.
    #[error("no answer: {0}; it is tried again")]
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
