use super::*;

/// What the store holds of requests that crashed targets, as known to one instance. The leader writes it, so that it
/// outlasts all instances.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    /// Number of crashes of each request in the store; none before it was read.
    stored: Option<BTreeMap<Fingerprint, usize>>,
}

impl CrashRecords {
    /// Records what was read from the store or written to it.
    pub fn record_stored(&mut self, reports: &[CrashReport]) {
        self.stored = Some(counts(reports));
    }

    /// Whether the store was read. Before, a write could replace records that are not known here.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.stored.is_some()
    }

    /// Whether the leader must write these reports.
    #[must_use]
    pub fn must_write(&self, reports: &[CrashReport]) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|stored| *stored != counts(reports))
    }
}

fn counts(reports: &[CrashReport]) -> BTreeMap<Fingerprint, usize> {
    let counts = reports.iter();
    let counts = counts.map(|report| (report.fingerprint, report.crashes.len()));
    counts.collect()
}
