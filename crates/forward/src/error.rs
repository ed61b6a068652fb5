use super::*;

/// Failures of shared stores and engines that others keep.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// Nothing was done.
    #[error("refused: {0}; it is tried again")]
    Refused(String),
    /// It is not known whether anything was done.
    #[error("no answer: {0}; it is tried again")]
    Unknown(String),
}
