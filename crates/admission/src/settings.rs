use std::time::Duration;

/// Settings of the queue for requests that wait for capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Expected wait per request while there are too few completions for an estimate.
    pub default_wait: Duration,
    /// Maximum retry time that a refused caller is given.
    pub max_retry_after: Duration,
    /// Maximum number of waiting requests.
    pub max_waiting_count: usize,
    /// Time constant of the exponential decay of counts: they lose about two thirds of their weight in
    /// this time.
    pub decay_time: Duration,
    /// Number of requests at the head of the queue that may try for capacity at the same time. More than
    /// one, as the first may be too large for the free capacity.
    pub max_trying_count: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            default_wait: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(4),
            max_waiting_count: 256,
            decay_time: Duration::from_secs(1),
            max_trying_count: 2,
        }
    }
}
