use super::*;

/// Settings of the choice of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Maximum share of an engine's request memory that is filled. The rest is left for requests that
    /// other instances sent in the meantime and for answers longer than expected.
    pub max_memory_share: f64,
    /// Time for which a target is avoided after its first failure. Doubles with each further failure.
    pub min_avoidance: Duration,
    /// Time for which an engine that refused a request for lack of capacity gets no other one. It need
    /// not be long, as streams end and free memory within some tens of milliseconds.
    pub full_cooldown: Duration,
    /// Time that each stage adds to each token, in milliseconds: the transfer within a failure domain
    /// and the wait for the batch step in progress.
    pub hop_ms: f64,
    /// Additional time per token for a transfer to another failure domain, in milliseconds.
    pub domain_change_ms: f64,
    /// Maximum time for which a target that failed is avoided.
    pub max_avoidance: Duration,
    /// Age from which a load report of a target is ignored.
    pub max_report_age: Duration,
    /// Slowness factor that an engine must report, relative to its hardware, to count as slow.
    pub slow_factor: f64,
    /// Share of an engine's request memory that is reserved for the most urgent requests, for services
    /// whose requests have several ranks.
    pub urgent_reserve_share: f64,
    /// Maximum random share that is added to costs, so that instances do not all choose the same targets
    /// from the same reports.
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
            // As much as `max_memory_share` leaves free.
            urgent_reserve_share: 0.1,
        }
    }
}
