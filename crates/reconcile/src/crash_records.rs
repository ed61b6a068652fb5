use super::*;

/// What the store holds of crashes, as known to one instance. The leader writes it, so that it outlasts all instances.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    /// Digest of the victims that were examined last; none if they must be examined again.
    examined: Option<u64>,
    /// What was read from the store or written to it; none before it was read.
    stored: Option<Stored>,
}

#[derive(Clone, Debug)]
struct Stored {
    /// Number of crashes of each request.
    requests: BTreeMap<Fingerprint, usize>,
    /// Victims, and which of their parts were cleared.
    victims: BTreeSet<VictimState>,
}

/// Victim of a crash without its age.
type VictimState = (CrashId, Fingerprint, Vec<(Fingerprint, bool)>);

impl CrashRecords {
    /// Whether victims with this digest have not been examined yet.
    #[must_use]
    pub fn must_examine(&self, digest: u64) -> bool {
        self.examined != Some(digest)
    }

    /// Records that what the store holds of victims with this digest is up to date.
    pub fn record_examined(&mut self, digest: u64) {
        self.examined = Some(digest);
    }

    /// Records what was read from the store.
    pub fn record_read(&mut self, crashes: &StoredCrashes) {
        self.examined = None;
        self.stored = Some(Stored {
            requests: counts(&crashes.requests),
            victims: states(&crashes.victims),
        });
    }

    /// Records that requests were written to the store.
    pub fn record_requests(&mut self, requests: &[CrashReport]) {
        if let Some(stored) = &mut self.stored {
            stored.requests = counts(requests);
        }
    }

    /// Records that victims were written to the store.
    pub fn record_victims(&mut self, victims: &[PhasedVictimReport]) {
        if let Some(stored) = &mut self.stored {
            stored.victims = states(victims);
        }
    }

    /// Whether the store was read. Before, a write could replace records that are not known here.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether the leader must write these requests.
    #[must_use]
    pub fn must_write_requests(&self, requests: &[CrashReport]) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|stored| stored.requests != counts(requests))
    }

    /// Whether the leader must write these victims.
    #[must_use]
    pub fn must_write_victims(&self, victims: &[PhasedVictimReport]) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|stored| stored.victims != states(victims))
    }
}

fn counts(reports: &[CrashReport]) -> BTreeMap<Fingerprint, usize> {
    let counts = reports.iter();
    let counts = counts.map(|report| (report.fingerprint, report.crashes.len()));
    counts.collect()
}

fn states(reports: &[PhasedVictimReport]) -> BTreeSet<VictimState> {
    let states = reports.iter().map(|report| &report.victim);
    let states = states.map(|one| (one.crash.clone(), one.request, one.parts.clone()));
    states.collect()
}
