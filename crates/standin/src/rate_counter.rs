use super::*;

/// Window over which a rate is computed.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts events and computes their rate over the last second.
#[derive(Debug, Default)]
pub(crate) struct RateCounter {
    recent: VecDeque<Instant>,
    total: u64,
}

impl RateCounter {
    pub(crate) fn record(&mut self, now: Instant) {
        self.total += 1;
        self.recent.push_back(now);
        self.prune(now);
    }

    pub(crate) fn per_second(&mut self, now: Instant) -> f64 {
        self.prune(now);
        let count = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        f64::from(count) / WINDOW.as_secs_f64()
    }

    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    fn prune(&mut self, now: Instant) {
        while let Some(first) = self.recent.front() {
            if now.duration_since(*first) <= WINDOW {
                return;
            }
            self.recent.pop_front();
        }
    }
}
