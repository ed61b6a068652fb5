use super::*;

/// Faults of the settings of a platform client.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// No address is set.
    #[error("no platform address is set; add at least one to `addresses`")]
    NoAddress,
}
