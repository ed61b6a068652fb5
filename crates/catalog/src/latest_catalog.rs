use super::*;

/// The newest catalog that this instance knows, and when it was last known to be the newest.
#[derive(Clone, Debug, Default)]
pub struct LatestCatalog {
    catalog: Option<Arc<Catalog>>,
    /// When the last read that confirmed the version was sent, on a clock that counts suspension.
    confirmed_at: Option<Duration>,
}

impl LatestCatalog {
    /// Takes a catalog over, unless one at least as new is held. Returns whether it was taken.
    pub fn offer(&mut self, catalog: Arc<Catalog>) -> bool {
        let held = self.catalog.as_ref().map(|held| held.version());
        if held.is_some_and(|version| version >= catalog.version()) {
            return false;
        }
        self.catalog = Some(catalog);
        true
    }

    /// Notes that a read sent at `sent_at` showed no newer version than `version`.
    pub fn confirm(&mut self, version: u64, sent_at: Duration) {
        let held = self.catalog.as_ref().map(|held| held.version());
        if held.is_none_or(|held| held > version) {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// The newest catalog.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Version of the newest catalog; 0 while none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |held| held.version())
    }

    /// When the read that last confirmed the catalog was sent.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Whether no key that was withdrawn longer than `limit` ago is still accepted.
    #[must_use]
    pub fn is_fresh(&self, now: Duration, limit: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| now.saturating_sub(confirmed_at) < limit)
    }
}
