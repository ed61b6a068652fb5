use super::*;

/// Requests that crash targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
    /// Tokens that a suspect must deliver after its crash to be cleared before its end.
    pub clear_tokens: u32,
    /// Targets that a fingerprint may crash before it is refused.
    pub crash_count: u32,
    /// Time for which a crash is remembered, in milliseconds.
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
