use super::*;

/// Addresses and limits of the platform client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the platform, any of which serves every request. Invariant: not empty.
    pub addresses: Vec<SocketAddr>,
    /// Time to make a connection, in milliseconds.
    pub connect_limit_ms: u64,
    /// Longest reply, in bytes.
    pub reply_bytes: usize,
    /// Time from the first byte sent to the end of the reply, in milliseconds.
    pub reply_limit_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            connect_limit_ms: 300,
            reply_bytes: 16 * 1024 * 1024,
            reply_limit_ms: 1_500,
        }
    }
}
