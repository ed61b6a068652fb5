use super::*;

/// Limits on what a server accepts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Connections open at once from one client address, or one IPv6 network of 64 bits. Lower than
    /// `connection_count`, or one client with slow requests can keep all others out.
    pub client_connection_count: usize,
    /// Connections open at once.
    pub connection_count: usize,
    /// Longest request head, in bytes. Invariant: at least 8,192, the least that hyper takes.
    pub head_bytes: usize,
    /// Longest time for a whole head, and longest pause while a body arrives, in milliseconds.
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
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}
