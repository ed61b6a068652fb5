use super::*;

/// Settings of what the loops of one instance share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSettings {
    /// Time for which an instance may use what it knows of targets: a target that is leaving takes
    /// requests for as long.
    pub knowledge_limit: Duration,
    /// Time after the start in which an instance waits for a leader before it reads the stores itself.
    /// Zero where it must serve at once.
    pub reading_delay: Duration,
}

impl Default for SharedSettings {
    fn default() -> Self {
        Self {
            knowledge_limit: Duration::from_millis(2_000),
            reading_delay: Duration::ZERO,
        }
    }
}
