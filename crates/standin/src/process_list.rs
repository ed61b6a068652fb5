use super::*;

/// The platform's process list, with enough history to show it as it was some time ago.
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
    /// Creates or refreshes a row. Returns false and changes nothing if a process with a newer
    /// incarnation has the same id. A process that reported that it leaves stays marked as leaving.
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
        // A view from `retention` ago shows the newest entry of at least that age, so older ones
        // are not needed.
        while entries.len() > 1 && now.duration_since(entries[1].written_at) > retention {
            entries.pop_front();
        }
        entries.push_back(Entry {
            listing,
            written_at: now,
        });
        true
    }

    /// Moves all rows forward by the duration of an outage, so that rows do not expire because they
    /// could not be refreshed during it.
    pub(crate) fn extend_expiry(&mut self, now: Instant, outage: Duration) {
        for entries in self.rows.values_mut() {
            for entry in entries {
                entry.written_at = (entry.written_at + outage).min(now);
            }
        }
    }

    /// Returns the rows as they were `lag` ago, without those that had expired by then.
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
