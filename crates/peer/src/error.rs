use super::*;

/// Errors of calls between instances.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The last attempts to connect failed, and the next attempt is not due yet.
    #[error(
        "peer {address} is in connection backoff for another {wait:?}; see the preceding error"
    )]
    Backoff {
        /// Address of the peer.
        address: SocketAddr,
        /// Time until the next attempt to connect.
        wait: Duration,
    },
    /// The connection broke, or the call could not be sent.
    #[error("call to peer {address} failed: {message}; check that both run the same version")]
    Call {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the RPC layer.
        message: Arc<str>,
    },
    /// The connection could not be established.
    #[error(
        "cannot connect to peer {address}: {message}; check the address and that the peer is listening"
    )]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the attempt to connect.
        message: Arc<str>,
    },
    /// No answer arrived before the deadline.
    #[error("peer {address} did not answer within {limit:?}; check its load, or raise `call_ms`")]
    Deadline {
        /// Address of the peer.
        address: SocketAddr,
        /// Time allowed for the call, as set by `call_ms`.
        limit: Duration,
    },
    /// The peer has a different secret.
    #[error("peer {address} rejected the shared secret; set the same `secret` on all instances")]
    Secret {
        /// Address of the peer.
        address: SocketAddr,
    },
}
