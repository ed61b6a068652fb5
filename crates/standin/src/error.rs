use super::*;

/// Faults of stand-ins.
#[derive(Debug, Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {message}; free the port or set port 0")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
}
