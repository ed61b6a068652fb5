use super::*;

/// Number of targets that only other instances reach from which an instance counts as cut off. A single one
/// may have lost its own link to this instance.
const MIN_DETOUR_COUNT: usize = 2;
/// Time for which a connection to one target shows that the links of this instance work.
const SUCCESS_VALIDITY: Duration = Duration::from_secs(1);

/// What an instance knows about its own links to targets.
#[derive(Clone, Debug, Default)]
pub struct DirectReach {
    /// Targets that could be reached through another instance only, since the last direct connection.
    detours: HashSet<TargetId>,
    is_cut_off: bool,
    succeeded_at: Option<Duration>,
}

impl DirectReach {
    /// Records a direct connection to any target. Returns whether this ends a cut.
    pub fn record_success(&mut self, now: Duration) -> bool {
        self.detours.clear();
        self.succeeded_at = Some(now);
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that another instance reached a target that could not be reached directly. Returns whether
    /// this instance counts as cut off from now on and did not before.
    pub fn record_detour(&mut self, target: TargetId) -> bool {
        if self.is_cut_off {
            return false;
        }
        self.detours.insert(target);
        self.is_cut_off = self.detours.len() >= MIN_DETOUR_COUNT;
        self.is_cut_off
    }

    /// Whether this instance reaches no target directly, although others do.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether direct connections that are open may never answer, because a target was reached through another
    /// instance only.
    #[must_use]
    pub fn doubts_open_connections(&self) -> bool {
        self.is_cut_off || !self.detours.is_empty()
    }

    /// Whether a target was reached directly at `since` or later.
    #[must_use]
    pub fn has_succeeded_since(&self, since: Duration) -> bool {
        self.succeeded_at.is_some_and(|at| at >= since)
    }

    /// Whether a recent direct connection to another target shows that a failed one is not the fault of this
    /// instance.
    #[must_use]
    pub fn blames_target(&self, now: Duration) -> bool {
        !self.is_cut_off && self.has_succeeded_since(now.saturating_sub(SUCCESS_VALIDITY))
    }
}
