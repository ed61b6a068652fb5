use super::*;

/// Fingerprints with the time at which each was last recorded. Bounded: beyond the limit, the older half is
/// removed.
#[derive(Clone, Debug)]
pub(crate) struct RecentSet {
    entries: BTreeMap<Fingerprint, Duration>,
    max_count: usize,
}

impl RecentSet {
    pub(crate) fn new(max_count: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            max_count,
        }
    }

    pub(crate) fn insert(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.entries.insert(fingerprint, now);
        if self.entries.len() <= self.max_count {
            return;
        }
        let mut times: Vec<Duration> = self.entries.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.entries.retain(|_, at| *at > median);
    }

    pub(crate) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    pub(crate) fn remove(&mut self, fingerprint: Fingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Removes the fingerprints that were last recorded before `oldest`.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.entries.retain(|_, at| *at >= oldest);
    }
}
