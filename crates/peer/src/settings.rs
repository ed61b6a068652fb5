use super::*;

/// Settings of the exchange with peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// First pause after a failed connection, in milliseconds; doubles with each further failure.
    pub backoff_ms: u64,
    /// Longest pause between attempts to connect, in milliseconds.
    pub backoff_max_ms: u64,
    /// Longest wait for the answer to a call, in milliseconds.
    pub call_ms: u64,
    /// Longest wait for a connection, in milliseconds.
    pub connect_ms: u64,
    /// Incoming connections open at once.
    pub connection_count: usize,
    /// Longest message, in bytes. Must hold both lists, and the longest journal.
    pub frame_bytes: usize,
    /// Calls of one connection that are served at once.
    pub request_count: usize,
    /// Secret that all instances share.
    pub secret: Secret,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            backoff_max_ms: 2_000,
            backoff_ms: 100,
            call_ms: 1_000,
            connect_ms: 500,
            connection_count: 1_024,
            frame_bytes: 4 * 1024 * 1024,
            request_count: 256,
            secret: Secret::default(),
        }
    }
}
