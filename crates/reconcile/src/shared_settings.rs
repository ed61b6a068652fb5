use super::*;

/// Settings of the state that the loops of one instance share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSettings {
    /// Time for which an instance may use its list of targets. A target that is leaving continues
    /// to accept requests for this time.
    pub max_state_age: Duration,
    /// Time after the start for which an instance waits for a leader before it reads the stores
    /// itself. Zero if the instance must serve immediately.
    pub store_read_delay: Duration,
}

impl Default for SharedSettings {
    fn default() -> Self {
        Self {
            max_state_age: Duration::from_millis(2_000),
            store_read_delay: Duration::ZERO,
        }
    }
}
