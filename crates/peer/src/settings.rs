use super::*;

/// Settings of calls to and from peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Delay after the first failed attempt to connect, in milliseconds; doubles with each further
    /// failure.
    pub backoff_ms: u64,
    /// Longest delay between attempts to connect, in milliseconds.
    pub backoff_max_ms: u64,
    /// Timeout for a call, in milliseconds.
    pub call_ms: u64,
    /// Timeout for connecting, in milliseconds.
    pub connect_ms: u64,
    /// Largest number of incoming connections open at the same time.
    pub connection_count: usize,
    /// Longest message, in bytes. It must hold the complete lists and the longest journal.
    pub frame_bytes: usize,
    /// Largest number of calls per connection that are handled at the same time.
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
