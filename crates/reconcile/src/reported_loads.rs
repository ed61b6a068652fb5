use super::*;

/// Age up to which a relay reports loads of downstream instances: twice the time between their
/// queries. An instance that has switched to another relay must not be counted by both for long.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(900);

/// Loads reported by other instances: those of downstream instances, and those received from
/// upstream.
#[derive(Debug, Default)]
pub(crate) struct ReportedLoads {
    downstream: LoadTable,
    /// Time at which all loads were last summed.
    summed_at: Duration,
    /// Loads received from the upstream instance, and the time at which they were received.
    upstream: (Vec<SharedLoad>, Duration),
}

impl ReportedLoads {
    /// Stores the loads of an instance and its downstream instances. Returns whether a target that
    /// had answered all instances before is now silent.
    pub(crate) fn set_downstream(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        loads: Vec<SharedLoad>,
    ) -> bool {
        self.downstream.set(now, id, loads)
    }

    /// Stores the loads received from the upstream instance.
    pub(crate) fn set_upstream(&mut self, now: Duration, loads: Vec<SharedLoad>) {
        self.summed_at = now;
        self.upstream = (loads, now);
    }

    /// Discards the loads received from the upstream instance.
    pub(crate) fn clear_upstream(&mut self) {
        self.upstream.0.clear();
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

    /// Sum of `own` and the loads of all instances except `id` and its downstream instances.
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

    /// Sum of `own` and the loads of the given downstream instances.
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
