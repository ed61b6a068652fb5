use super::*;

/// Age up to which a relay reports loads of children: twice the time between their queries. An
/// instance that has switched to another relay must not be counted by both for long.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(900);

/// Loads reported by other instances: those that each child sent for itself and its descendants, and
/// those received from the parent.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoads {
    children: LoadTable,
    /// Time at which all loads were last summed.
    summed_at: Duration,
    /// Loads received from the parent, and the time at which they were received.
    parent: (Vec<SharedLoad>, Duration),
}

impl ReportedLoads {
    /// Stores the loads of a child and its descendants. Returns whether a target is reported as
    /// unreachable or slow for the first time.
    pub(crate) fn set_child(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
    ) -> bool {
        self.children.set(now, id, loads)
    }

    /// Stores the loads received from the parent.
    pub(crate) fn set_parent(&mut self, now: Duration, loads: Vec<SharedLoad>) {
        self.summed_at = now;
        self.parent = (loads, now);
    }

    /// Discards the loads received from the parent.
    pub(crate) fn clear_parent(&mut self) {
        self.parent.0.clear();
    }

    /// Sum of the loads of all other instances, if the last sum is at least `interval` old.
    pub(crate) fn sum_if_due(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Option<Vec<SharedLoad>> {
        if now.saturating_sub(self.summed_at) < interval {
            return None;
        }
        self.summed_at = now;
        Some(self.sum_excluding(now, &Arc::from(""), &[]))
    }

    /// Sum of `own` and the loads of all instances except `id` and its descendants.
    pub(crate) fn sum_excluding(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let (parent, at) = &self.parent;
        let is_recent = now.saturating_sub(*at) <= MAX_LOAD_AGE;
        let parent = parent.iter().filter(|_| is_recent);
        self.children
            .sum_excluding(now, id, own.iter().chain(parent))
    }

    /// Sum of `own` and the loads of the given children.
    pub(crate) fn sum_for(
        &self,
        now: Duration,
        ids: &HashSet<&Arc<str>>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let is_included = |id: &Arc<str>| ids.contains(id);
        self.children.sum_of(now, MAX_RELAYED_AGE, is_included, own)
    }
}
