use super::*;

/// The newest catalog known to this instance and the time at which it was last confirmed to be
/// current.
#[derive(Clone, Debug, Default)]
pub struct LatestCatalog {
    catalog: Option<Arc<Catalog>>,
    /// When the last read that confirmed the version was sent, on a clock that includes time in
    /// suspension.
    confirmed_at: Option<Duration>,
}

impl LatestCatalog {
    /// Replaces the catalog if `catalog` is newer. Returns whether it was replaced.
    pub fn offer(&mut self, catalog: Arc<Catalog>) -> bool {
        let held = self.catalog.as_ref().map(|held| held.version());
        if held.is_some_and(|version| version >= catalog.version()) {
            return false;
        }
        self.catalog = Some(catalog);
        true
    }

    /// Records that a read sent at `sent_at` found no version newer than `version`. Returns whether this confirms
    /// the catalog. A source that only has an older version may lack even newer ones, so it confirms nothing.
    pub fn confirm(&mut self, version: u64, sent_at: Duration) -> bool {
        let held = self.catalog.as_ref().map(|held| held.version());
        if held.is_none_or(|held| held > version) {
            return false;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        true
    }

    /// Returns the newest catalog.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the version of the newest catalog; 0 if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |held| held.version())
    }

    /// Returns when the read that last confirmed the catalog was sent.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns whether the catalog was confirmed less than `limit` ago, so that no key withdrawn
    /// longer ago than that is still accepted.
    #[must_use]
    pub fn is_fresh(&self, now: Duration, limit: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.saturating_sub(confirmed_at) < limit)
    }
}
