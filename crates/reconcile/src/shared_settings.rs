use super::*;

/// Settings of what the loops of one instance share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSettings {
    /// Time for which an instance may use what it knows of targets: a target that is leaving takes
    /// requests for as long.
    pub max_state_age: Duration,
    /// Time after the start in which an instance waits for a leader before it reads the stores itself.
    /// Zero where it must serve at once.
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
