use super::*;

/// Settings of the choice of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Share of an engine's memory for requests that is filled, leaving room for requests that
    /// other instances dispatched in the meantime and for answers longer than expected.
    pub max_memory_share: f64,
    /// First time for which a target that failed is avoided. Doubles with each further failure.
    pub min_avoidance: Duration,
    /// Time for which an engine that refused a request for want of room gets no other one. Streams end
    /// and free room within some tens of milliseconds.
    pub full_cooldown: Duration,
    /// Time that one stage adds to each token, in milliseconds: a transfer within a failure domain
    /// and the wait for the pass in progress.
    pub hop_ms: f64,
    /// Time that a change of the failure domain adds to each token, in milliseconds.
    pub domain_change_ms: f64,
    /// Longest time for which a target that failed is avoided.
    pub max_avoidance: Duration,
    /// Age at which a load report no longer says anything.
    pub max_report_age: Duration,
    /// Factor from which an engine that is slower than its hardware counts as slow.
    pub slow_factor: f64,
    /// Share of an engine's memory for requests that only the most urgent requests fill, where a service
    /// has requests of several ranks.
    pub urgent_reserve_share: f64,
    /// Random share by which costs differ between instances, so that they do not all choose the
    /// same targets from the same reports.
    pub jitter_share: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            domain_change_ms: 3.0,
            max_memory_share: 0.9,
            min_avoidance: Duration::from_millis(500),
            full_cooldown: Duration::from_millis(100),
            hop_ms: 0.5,
            max_avoidance: Duration::from_secs(8),
            max_report_age: Duration::from_millis(500),
            slow_factor: 1.5,
            jitter_share: 0.05,
            // As much as `fill_share` leaves free.
            urgent_reserve_share: 0.1,
        }
    }
}
