use super::*;

/// Fake service that runs a number of calls at once, each for the same time.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) alive: bool,
    /// Number of executions by index of the arrival, to find operations that ran more than once.
    pub(crate) executions: BTreeMap<usize, u32>,
    pub(crate) listing: Listing,
    pub(crate) running_count: u32,
    pub(crate) slot_count: u32,
    /// Time of one call without waiting.
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

    /// Time until a call that arrives now is completed.
    pub(crate) fn completion_delay(&self) -> Duration {
        let rounds = self.running_count / self.slot_count + 1;
        self.call_duration * rounds
    }
}
