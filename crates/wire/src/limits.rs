use super::*;

/// Limits on the connections and requests that a server accepts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections per IPv4 address or IPv6 /64 network. Must be lower than
    /// `connection_count`: otherwise a single client with slow requests can block all others.
    pub client_connection_count: usize,
    /// Maximum number of open connections. Further ones wait in the listen backlog.
    pub connection_count: usize,
    /// Maximum size of a request head, in bytes. Invariant: at least 8,192, the minimum that hyper
    /// accepts.
    pub head_bytes: usize,
    /// Time limit for receiving a complete head, and for each chunk of a body, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            client_connection_count: 512,
            connection_count: 4_096,
            head_bytes: 16 * 1024,
            idle_ms: 15_000,
        }
    }
}

impl Limits {
    /// Returns `idle_ms` as a duration.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}
