use super::*;

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Interval after which the digest of an unchanged report is sent again, in milliseconds.
    pub digest_refresh_ms: u64,
    /// Time for which a departure is repeated in heartbeats, in milliseconds.
    pub departure_memory_ms: u64,
    /// Time for which a flap doubles the steady interval, in milliseconds.
    pub flap_memory_ms: u64,
    /// Age of a peer's last heartbeat up to which the peer counts as heard, in milliseconds.
    pub hearing_ms: u64,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Deviations above the mean interval after which a process is suspect.
    pub late_deviations: f64,
    /// Interval of reading the platform's list, in milliseconds.
    pub listing_ms: u64,
    /// Interval after which unchanged models are sent again, in milliseconds.
    pub models_refresh_ms: u64,
    /// Interval of polls of a collected target, in milliseconds.
    pub poll_ms: u64,
    /// Time over which a joiner's share grows, in milliseconds.
    pub ramp_ms: u64,
    /// Deviations above the mean interval after which a process is down.
    pub silence_deviations: f64,
    /// Longest silence before a process is down, in milliseconds.
    pub silence_max_ms: u64,
    /// Shortest silence before a process is down, in milliseconds.
    pub silence_min_ms: u64,
    /// Age of the collector's digest from which the standby polls, in milliseconds.
    pub standby_ms: u64,
    /// Longest steady interval, in milliseconds.
    pub steady_max_ms: u64,
    /// Steady interval that recovery needs after one flap, in milliseconds.
    pub steady_ms: u64,
    /// Silence after which an unlisted process is forgotten, and an instance leaves the view of
    /// the majority rule, in milliseconds.
    pub view_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            departure_memory_ms: 30_000,
            digest_refresh_ms: 2_000,
            flap_memory_ms: 120_000,
            hearing_ms: 2_000,
            heartbeat_ms: 500,
            late_deviations: 5.0,
            listing_ms: 1_000,
            models_refresh_ms: 10_000,
            poll_ms: 1_000,
            ramp_ms: 10_000,
            silence_deviations: 8.0,
            silence_max_ms: 10_000,
            silence_min_ms: 1_500,
            standby_ms: 2_000,
            steady_max_ms: 60_000,
            steady_ms: 1_000,
            view_ms: 60_000,
        }
    }
}
