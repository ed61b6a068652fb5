use std::time::Duration;

/// Settings of the wait for room.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Wait that is expected for each request while nothing is known of how fast room comes back.
    pub default_wait: Duration,
    /// Longest time after which a refused caller is told to come back.
    pub max_retry_after: Duration,
    /// Most requests that wait.
    pub max_waiting_count: usize,
    /// Time in which counts of ended and admitted requests lose two thirds of their weight.
    pub decay_time: Duration,
    /// Requests that look for room at the same time. The first one may be too large for what is free.
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
