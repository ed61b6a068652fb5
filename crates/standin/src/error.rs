use super::*;

/// Errors when a fake server starts or its process runs.
#[derive(Debug, Error)]
pub enum Error {
    /// The listen address cannot be bound.
    #[error("cannot listen on {address}: {message}; free the port or set port 0")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Text of the system's error.
        message: String,
    },
    /// The system refused to start threads, install signal handlers or write the output.
    #[error("cannot run the process: {0}; check its resource limits and who reads its output")]
    Process(#[from] std::io::Error),
    /// The settings or command line arguments are invalid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
}
