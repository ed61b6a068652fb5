use super::*;

/// Settings of the platform client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the platform; each one serves every request. Invariant: not empty.
    pub addresses: Vec<SocketAddr>,
    /// Time limit for opening a connection, in milliseconds.
    pub connect_limit_ms: u64,
    /// Maximum size of a reply body, in bytes.
    pub reply_bytes: usize,
    /// Time limit from sending the request to the end of the reply, in milliseconds.
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

impl Check for PlatformSettings {
    fn check(&self, faults: &mut Faults) {
        let remedy = "add at least one address of the platform";
        let is_set = !self.addresses.is_empty();
        faults.require(is_set, "addresses", "[]", "contains no address", remedy);
        let remedy = "allow one round trip, but no more than the 2 s claim window";
        faults.require_in_range("connect_limit_ms", self.connect_limit_ms, 1..=2_000, remedy);
        faults.require_in_range("reply_limit_ms", self.reply_limit_ms, 1..=2_000, remedy);
        let remedy = "allow at least one table row, for example 16777216";
        faults.require_in_range("reply_bytes", self.reply_bytes, 1_024..=usize::MAX, remedy);
    }
}
