use super::*;

/// Part of an answer that concerns the list of targets.
#[derive(Clone, Debug)]
pub struct RelayedTargets {
    /// Revision named in the query.
    pub base_revision: u64,
    /// Change since that revision; none if there is none.
    pub change: Option<TargetChange>,
    /// Time at which the configuration in the same answer was confirmed.
    pub confirmed_at: Duration,
    /// Number of instances between the stores and the answer.
    pub distance: u32,
    /// Time at which the targets were read from the store.
    pub read_at: Duration,
    /// Revision after the change.
    pub revision: u64,
    /// Address of the instance that answered.
    pub source: SocketAddr,
}

impl RelayedTargets {
    /// Time at which all of the answer was current. Targets are read independently of the
    /// configuration, so the time that a read of the configuration waits for a change does not
    /// count.
    pub(crate) fn current_at(&self) -> Duration {
        self.read_at.min(self.confirmed_at + catalog_loop::MAX_WAIT)
    }
}
