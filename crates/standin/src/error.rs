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
    /// The system refuses threads, signals or output.
    #[error("the process cannot run: {0}; check its limits and what reads its output")]
    Process(#[from] std::io::Error),
    /// Settings or arguments cannot be used.
    #[error(transparent)]
    Settings(#[from] settings::Error),
}
