use super::*;

/// Faults of exchanges over HTTP.
#[derive(Debug, Error)]
pub enum Error {
    /// The body is longer than the limit.
    #[error("the body is longer than {limit_bytes} bytes; send a shorter one")]
    BodyTooLong {
        /// Limit, in bytes.
        limit_bytes: usize,
    },
    /// The connection broke after bytes were sent.
    #[error("the connection to {address} broke: {message}; check whether the process there runs")]
    Broken {
        /// Other side.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A kept connection was closed before the request, so nothing was sent.
    #[error("{address} closed the connection before the request; send it on a new one")]
    Closed {
        /// Other side.
        address: SocketAddr,
    },
    /// No connection could be made, so nothing was sent.
    #[error("no connection to {address}: {message}; check the address and that a process listens")]
    Connect {
        /// Other side.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A message is not the JSON that is expected.
    #[error("not the expected JSON: {message}; compare the message with the documented form")]
    Json {
        /// Cause.
        message: String,
    },
    /// The other side sent something that is not HTTP/1.1.
    #[error("{address} sent no valid HTTP: {message}; check that the address is of a target")]
    Malformed {
        /// Other side.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A request could not be formed, so nothing was sent.
    #[error("the request cannot be sent: {message}; correct its path and headers")]
    Request {
        /// Cause.
        message: String,
    },
    /// The other side sent nothing for too long.
    #[error("{address} sent nothing for {limit:?}; check its load, or raise the limit")]
    Timeout {
        /// Other side.
        address: SocketAddr,
        /// Limit.
        limit: Duration,
    },
}

impl Error {
    /// Whether it is certain that no byte of the request was sent.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Closed { .. } | Self::Connect { .. } | Self::Request { .. }
        )
    }
}
