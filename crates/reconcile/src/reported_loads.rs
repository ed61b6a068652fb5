use super::*;

/// Age up to which a relay passes on the loads of others: twice the time between their questions. Those
/// that have gone to another relay must not count at both for long.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(900);

/// Loads that an instance hears of: from those that ask it, and from the one that it asks.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoads {
    downstream: LoadTable,
    /// When the sum of all was taken last.
    summed_at: Duration,
    /// Loads that the asked instance told, and when.
    upstream: (Vec<SharedLoad>, Duration),
}

impl ReportedLoads {
    /// Notes the loads of an instance and of those that ask it. Returns whether a target is silent that
    /// answered all instances before.
    pub(crate) fn set_downstream(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
    ) -> bool {
        self.downstream.set(now, id, loads)
    }

    /// Notes the loads that the asked instance told.
    pub(crate) fn set_upstream(&mut self, now: Duration, loads: Vec<SharedLoad>) {
        self.summed_at = now;
        self.upstream = (loads, now);
    }

    /// Forgets the loads that the asked instance told.
    pub(crate) fn clear_upstream(&mut self) {
        self.upstream.0.clear();
    }

    /// Loads of all others, if they were not taken for `interval`.
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

    /// Loads of all instances but for `id` and those that ask it, and `own`.
    pub(crate) fn sum_excluding(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let (upstream, at) = &self.upstream;
        let is_recent = now.saturating_sub(*at) <= MAX_LOAD_AGE;
        let upstream = upstream.iter().filter(|_| is_recent);
        self.downstream
            .sum_excluding(now, id, own.iter().chain(upstream))
    }

    /// Loads of some of those that ask this instance, and `own`.
    pub(crate) fn sum_for(
        &self,
        now: Duration,
        ids: &HashSet<&Arc<str>>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let is_included = |id: &Arc<str>| ids.contains(id);
        self.downstream
            .sum_of(now, MAX_RELAYED_AGE, is_included, own)
    }
}
