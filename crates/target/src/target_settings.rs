use super::*;

/// Time and size limits for exchanges with targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSettings {
    /// Timeout for opening a connection, in milliseconds.
    pub connect_limit_ms: u64,
    /// Longest pause between two records of a stream, in milliseconds. Also limits the wait for the first
    /// record.
    pub idle_limit_ms: u64,
    /// Timeout for the reply to a control request or a load poll, in milliseconds.
    pub poll_limit_ms: u64,
    /// Maximum size of a reply, in bytes.
    pub reply_bytes: usize,
    /// Timeout for the reply of a service, in milliseconds. Longer than every deadline, because a reply
    /// after the deadline still determines the outcome in the record of the call.
    pub service_limit_ms: u64,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            connect_limit_ms: 300,
            idle_limit_ms: 15_000,
            poll_limit_ms: 1_000,
            reply_bytes: 16 * 1024 * 1024,
            service_limit_ms: 120_000,
        }
    }
}

impl Check for TargetSettings {
    fn check(&self, faults: &mut Faults) {
        let remedy = "set it to at least the time of one round trip";
        for (path, value) in [
            ("connect_limit_ms", self.connect_limit_ms),
            ("idle_limit_ms", self.idle_limit_ms),
            ("poll_limit_ms", self.poll_limit_ms),
            ("service_limit_ms", self.service_limit_ms),
        ] {
            faults.require_in_range(path, value, 1..=3_600_000, remedy);
        }
        let remedy = "set it to at least the size of one record, for example 16777216";
        faults.require_in_range("reply_bytes", self.reply_bytes, 1_024..=usize::MAX, remedy);
    }
}
