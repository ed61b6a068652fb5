use super::*;

/// Errors that prevent an instance from starting.
#[derive(Debug, Error)]
pub enum Error {
    /// The instance cannot listen on an address.
    #[error("cannot listen on {address}: {message}; set `{field}` to a free address of this host")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Name of the settings field that holds the address.
        field: &'static str,
        /// Description of the cause.
        message: String,
    },
    /// The platform client cannot be created.
    #[error("invalid platform settings: {0}")]
    Platform(#[from] storage::Error),
    /// The operating system refuses to start the control thread.
    #[error("cannot start the control thread: {message}; check the resource limits of the process")]
    Thread {
        /// Description of the cause.
        message: String,
    },
}
