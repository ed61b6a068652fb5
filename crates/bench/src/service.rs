use super::*;

/// Fake server of a plain service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) alive: bool,
    /// Executions by arrival, to find operations that ran twice.
    pub(crate) executions: BTreeMap<usize, u32>,
    pub(crate) listing: Listing,
    pub(crate) running_count: u32,
    pub(crate) slot_count: u32,
    pub(crate) call_duration: Duration,
}

impl Service {
    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            incarnation: self.listing.incarnation,
            rate_per_s: 1.0 / self.call_duration.as_secs_f64(),
            running_count: self.running_count.min(self.slot_count),
            slot_count: self.slot_count,
            waiting_count: self.running_count.saturating_sub(self.slot_count),
            ..LoadReport::default()
        }
    }

    /// Time until a call that arrives now is done.
    pub(crate) fn completion_delay(&self) -> Duration {
        let rounds = self.running_count / self.slot_count + 1;
        self.call_duration * rounds
    }
}
