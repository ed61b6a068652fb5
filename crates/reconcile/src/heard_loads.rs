use super::*;

/// Age up to which a relay passes on the loads of others: twice the time between their questions. Those
/// that have gone to another relay must not count at both for long.
const RELAYED_AGE: Duration = Duration::from_millis(900);

/// Loads that an instance hears of: from those that ask it, and from the one that it asks.
#[derive(Debug, Default)]
pub(crate) struct HeardLoads {
    lower: LoadTable,
    /// When the sum of all was taken last.
    taken_at: Duration,
    /// Loads that the asked instance told, and when.
    upper: (Vec<SharedLoad>, Duration),
}

impl HeardLoads {
    /// Notes the loads of an instance and of those that ask it. Returns whether a target is silent that
    /// answered all instances before.
    pub(crate) fn set(&mut self, now: Duration, id: &Arc<str>, loads: Vec<SharedLoad>) -> bool {
        self.lower.set(now, id, loads)
    }

    /// Notes the loads that the asked instance told.
    pub(crate) fn set_upper(&mut self, now: Duration, loads: Vec<SharedLoad>) {
        self.taken_at = now;
        self.upper = (loads, now);
    }

    /// Forgets the loads that the asked instance told.
    pub(crate) fn upper_lost(&mut self) {
        self.upper.0.clear();
    }

    /// Loads of all others, if they were not taken for `interval`.
    pub(crate) fn take(&mut self, now: Duration, interval: Duration) -> Option<Vec<SharedLoad>> {
        if now.saturating_sub(self.taken_at) < interval {
            return None;
        }
        self.taken_at = now;
        Some(self.without(now, &Arc::from(""), &[]))
    }

    /// Loads of all instances but for `id` and those that ask it, and `own`.
    pub(crate) fn without(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let (upper, at) = &self.upper;
        let is_recent = now.saturating_sub(*at) <= MAX_LOAD_AGE;
        let upper = upper.iter().filter(|_| is_recent);
        self.lower.sum_excluding(now, id, own.iter().chain(upper))
    }

    /// Loads of some of those that ask this instance, and `own`.
    pub(crate) fn of(
        &self,
        now: Duration,
        ids: &HashSet<&Arc<str>>,
        own: &[SharedLoad],
    ) -> Vec<SharedLoad> {
        let is_counted = |id: &Arc<str>| ids.contains(id);
        self.lower.sum_of(now, RELAYED_AGE, is_counted, own)
    }
}
