use std::time::Duration;

/// Settings of the wait for room.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Wait that is expected for each request while nothing is known of how fast room comes back.
    pub blind_wait: Duration,
    /// Longest time after which a refused caller is told to come back.
    pub longest_return: Duration,
    /// Most requests that wait.
    pub most_waiting: usize,
    /// Time in which counts of ended and admitted requests lose two thirds of their weight.
    pub rate_time: Duration,
    /// Requests that look for room at the same time. The first one may be too large for what is free.
    pub trying_count: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            blind_wait: Duration::from_millis(100),
            longest_return: Duration::from_secs(4),
            most_waiting: 256,
            rate_time: Duration::from_secs(1),
            trying_count: 2,
        }
    }
}
