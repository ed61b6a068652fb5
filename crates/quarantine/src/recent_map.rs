use super::*;

/// Set of fingerprints with the time at which each was last recorded.
pub(crate) type RecentSet = RecentMap<()>;

/// Values by fingerprint, with the time at which each was last recorded. Bounded: beyond the limit, the older half
/// is removed.
#[derive(Clone, Debug)]
pub(crate) struct RecentMap<T> {
    entries: BTreeMap<Fingerprint, (Duration, T)>,
    max_count: usize,
}

impl<T> RecentMap<T> {
    pub(crate) fn new(max_count: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            max_count,
        }
    }

    pub(crate) fn insert(&mut self, now: Duration, fingerprint: Fingerprint, value: T) {
        self.entries.insert(fingerprint, (now, value));
        if self.entries.len() <= self.max_count {
            return;
        }
        let mut times: Vec<Duration> = self.entries.values().map(|(at, _)| *at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.entries.retain(|_, (at, _)| *at > median);
    }

    pub(crate) fn get(&self, fingerprint: Fingerprint) -> Option<&T> {
        self.entries.get(&fingerprint).map(|(_, value)| value)
    }

    pub(crate) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    pub(crate) fn remove(&mut self, fingerprint: Fingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Removes the fingerprints that were last recorded before `oldest`.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.entries.retain(|_, (at, _)| *at >= oldest);
    }
}
