use super::*;

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Interval at which the digest of an unchanged report is sent again, in milliseconds.
    pub digest_refresh_ms: u64,
    /// Time for which heartbeats repeat a departure, in milliseconds.
    pub departure_memory_ms: u64,
    /// Time for which a flap counts: each one beyond the first doubles the steady interval that
    /// recovery needs, in milliseconds.
    pub flap_memory_ms: u64,
    /// Maximum age of the last heartbeat of a peer that counts towards the majority, in
    /// milliseconds.
    pub hearing_ms: u64,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Deviations above the mean interval after which a process is suspect.
    pub late_deviations: f64,
    /// Interval at which the platform's list is read, in milliseconds.
    pub listing_ms: u64,
    /// Interval at which unchanged models are sent again, in milliseconds.
    pub models_refresh_ms: u64,
    /// Interval at which the collector polls a target, in milliseconds.
    pub poll_ms: u64,
    /// Time over which the share of a new process grows to its full value, in milliseconds.
    pub ramp_ms: u64,
    /// Deviations above the mean interval after which a process is down.
    pub silence_deviations: f64,
    /// Upper limit of the silence after which a process is down, in milliseconds.
    pub silence_max_ms: u64,
    /// Lower limit of the silence after which a process is down, in milliseconds.
    pub silence_min_ms: u64,
    /// Age of the newest report from which the standby polls a target as well, in milliseconds.
    pub standby_ms: u64,
    /// Maximum steady interval that recovery needs, in milliseconds.
    pub steady_max_ms: u64,
    /// Steady interval that recovery needs after the first flap, in milliseconds.
    pub steady_ms: u64,
    /// Time without a sign of life after which a process that is not listed is removed, and an
    /// instance that is not listed no longer counts in the majority, in milliseconds.
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
