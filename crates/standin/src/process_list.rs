use super::*;

/// The instance list, with enough history to show it as it was some time ago.
#[derive(Debug, Default)]
pub(crate) struct ProcessList {
    rows: BTreeMap<Arc<str>, VecDeque<Entry>>,
}

#[derive(Clone, Debug)]
struct Entry {
    listing: Listing,
    written_at: Instant,
}

impl ProcessList {
    /// Creates or refreshes a row. Returns false for an earlier process under the same id.
    /// Leaving is final for a process.
    pub(crate) fn upsert(
        &mut self,
        now: Instant,
        mut listing: Listing,
        retention: Duration,
    ) -> bool {
        let entries = self.rows.entry(listing.id.clone()).or_default();
        if let Some(last) = entries.back() {
            if last.listing.incarnation > listing.incarnation {
                return false;
            }
            if last.listing.incarnation == listing.incarnation {
                listing.leaving |= last.listing.leaving;
            }
        }
        // The newest entry older than `keep` is the one shown at that age; older ones are not.
        while entries.len() > 1 && now.duration_since(entries[1].written_at) > retention {
            entries.pop_front();
        }
        entries.push_back(Entry {
            listing,
            written_at: now,
        });
        true
    }

    /// Counts an outage, during which no row could be refreshed, as no time for expiry.
    pub(crate) fn extend_expiry(&mut self, now: Instant, outage: Duration) {
        for entries in self.rows.values_mut() {
            for entry in entries {
                entry.written_at = (entry.written_at + outage).min(now);
            }
        }
    }

    /// Rows as they were `lag` ago, without those that had expired.
    pub(crate) fn listings_at(
        &self,
        now: Instant,
        lag: Duration,
        expiry: Duration,
    ) -> Vec<Listing> {
        let mut listings = Vec::new();
        for entries in self.rows.values() {
            let visible = entries
                .iter()
                .rev()
                .find(|entry| now.duration_since(entry.written_at) >= lag);
            let Some(entry) = visible else {
                continue;
            };
            if now.duration_since(entry.written_at) <= lag + expiry {
                listings.push(entry.listing.clone());
            }
        }
        listings
    }
}
