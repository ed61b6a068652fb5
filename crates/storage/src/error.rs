use super::*;

/// Errors of creating a platform client.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The settings contain no address.
    #[error("no platform address is set; add at least one to `addresses`")]
    NoAddress,
}
