use super::*;

/// Settings of the quarantine for requests that crash targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
    /// Number of tokens that a suspect must deliver after a failure to be cleared before it completes.
    pub clear_tokens: u32,
    /// Number of crashes from which requests with the same fingerprint are refused.
    pub crash_count: u32,
    /// Time after which a recorded crash expires, in milliseconds.
    pub expiry_ms: u64,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            clear_tokens: 4,
            crash_count: 2,
            expiry_ms: 600_000,
        }
    }
}
