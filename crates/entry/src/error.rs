use super::*;

/// Faults that keep an instance from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {message}; set `{field}` to a free address of this host")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Field of the settings.
        field: &'static str,
        /// Cause.
        message: String,
    },
    /// The platform client cannot be made.
    #[error("the platform settings cannot be used: {0}")]
    Platform(#[from] storage::Error),
    /// The control thread cannot be started.
    #[error("the control thread cannot be started: {message}; check the limits of the process")]
    Thread {
        /// Cause.
        message: String,
    },
}
