use super::*;

/// Faults of exchanges between instances.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The last attempts to connect failed, so none is made for a while.
    #[error("no connection to peer {address} is tried for {wait:?} more; see the fault before it")]
    Backoff {
        /// Peer.
        address: SocketAddr,
        /// Time until the next attempt.
        wait: Duration,
    },
    /// The connection broke or the call could not be sent.
    #[error("the call to peer {address} failed: {message}; check that both run the same version")]
    Call {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        message: Arc<str>,
    },
    /// No connection could be made.
    #[error("no connection to peer {address}: {message}; check the address and that it listens")]
    Connect {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        message: Arc<str>,
    },
    /// No answer came before the deadline.
    #[error("peer {address} did not answer within {limit:?}; check its load, or raise `call_ms`")]
    Deadline {
        /// Peer.
        address: SocketAddr,
        /// Limit.
        limit: Duration,
    },
    /// The peer has another secret.
    #[error("peer {address} refused the shared secret; set the same `secret` at all instances")]
    Secret {
        /// Peer.
        address: SocketAddr,
    },
}
