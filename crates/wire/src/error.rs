use super::*;

/// Errors of the HTTP client and of reading messages.
#[derive(Debug, Error)]
pub enum Error {
    /// A body or a line of it exceeds the size limit.
    #[error("the body is longer than {limit_bytes} bytes; send a shorter one")]
    BodyTooLong {
        /// Maximum size, in bytes.
        limit_bytes: usize,
    },
    /// The connection was lost after bytes of the request may have been sent.
    #[error("connection to {address} lost: {message}; check that the process there is running")]
    Broken {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// The connection was closed before the request was written, so nothing was sent.
    #[error("{address} closed the connection before the request was sent; use a new connection")]
    Closed {
        /// Address of the server.
        address: SocketAddr,
    },
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to {address}: {message}; check the address and that a process listens")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// A value cannot be written as JSON, or a body is not JSON of the expected type.
    #[error("not the expected JSON: {message}; compare the message with the documented form")]
    Json {
        /// Description of the cause.
        message: String,
    },
    /// The reply is not valid HTTP/1.1.
    #[error("invalid HTTP from {address}: {message}; check that the address is an HTTP server")]
    Malformed {
        /// Address of the server.
        address: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// The request has an invalid path or header, so nothing was sent.
    #[error("invalid request: {message}; correct its path and headers")]
    Request {
        /// Description of the cause.
        message: String,
    },
    /// No data, or no complete reply, arrived within the time limit.
    #[error("timed out after {limit:?} waiting for {address}; check its load or raise the limit")]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Time limit that was exceeded.
        limit: Duration,
    },
}

impl Error {
    /// Whether it is certain that no byte of the request was sent, so that it can be sent again.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Closed { .. } | Self::Connect { .. } | Self::Request { .. }
        )
    }
}
