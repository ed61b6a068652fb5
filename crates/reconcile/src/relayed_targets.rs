use super::*;

/// Targets of an answer.
#[derive(Clone, Debug)]
pub struct RelayedTargets {
    /// Revision that the question named.
    pub asked_revision: u64,
    /// Change since that revision; none if there is none.
    pub change: Option<TargetChange>,
    /// When the configuration of the same answer was confirmed.
    pub confirmed_at: Duration,
    /// Number of instances between the stores and the answer.
    pub distance: u32,
    /// When the targets were read.
    pub read_at: Duration,
    /// Revision after the change.
    pub revision: u64,
    /// Instance that answered.
    pub source: SocketAddr,
}

impl RelayedTargets {
    /// When all of the answer was current. A wait for a change of the configuration says nothing about the
    /// targets, which are read by themselves.
    pub(crate) fn current_at(&self) -> Duration {
        self.read_at.min(self.confirmed_at + catalog_loop::MAX_WAIT)
    }
}
