use super::*;

/// Time for which an instance counts that has left the list. It may have been cut off, so that it still uses
/// its share, or its share of the current window may be used up.
const ABSENCE_TIME: Duration = Duration::from_secs(600);
/// Time after which a list that the leader has not confirmed gives no share, because the other instances may
/// soon divide the extra retries without this one. Shorter than `ABSENCE_TIME` by more than a window.
const CONFIRMATION_TIME: Duration = Duration::from_secs(60);

/// Share of one instance in the extra retries that all instances together may send in a window.
///
/// The extra retries are divided by the largest number of instances that this one has seen for some time.
/// Views of the list therefore may differ without exceeding the limit.
#[derive(Clone, Debug)]
pub struct RetryShare {
    /// When the leader last confirmed a list; none before the first time.
    confirmed_at: Option<Duration>,
    extra_count: f64,
    /// An earlier start of this instance may have used its share shortly before it ended, so this one has none
    /// until then.
    held_until: Duration,
    instance_count: usize,
    /// Larger numbers of instances that were replaced, and when. Invariant: in falling order.
    replaced_counts: Vec<(usize, Duration)>,
}

impl RetryShare {
    /// Creates the share of an instance that has just started. `extra_count` is the number of extra retries of
    /// all instances.
    #[must_use]
    pub fn new(extra_count: f64, held_until: Duration) -> Self {
        Self {
            confirmed_at: None,
            extra_count,
            held_until,
            instance_count: 0,
            replaced_counts: Vec::new(),
        }
    }

    /// Records the number of listed instances.
    pub fn set_instance_count(&mut self, now: Duration, count: usize) {
        if self.instance_count > count {
            self.replaced_counts.push((self.instance_count, now));
        }
        self.instance_count = count;
        self.replaced_counts
            .retain(|(replaced, at)| *replaced > count && now.saturating_sub(*at) < ABSENCE_TIME);
    }

    /// Records that the leader has sent or built the current list.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Number of instances by which the extra retries are divided; 0 before the first list.
    #[must_use]
    pub fn divisor(&self, now: Duration) -> usize {
        let replaced = self.replaced_counts.iter();
        let recent = replaced.filter(|(_, at)| now.saturating_sub(*at) < ABSENCE_TIME);
        let largest = recent.map(|(count, _)| *count).max();
        largest.unwrap_or_default().max(self.instance_count)
    }

    /// Extra retries that this instance may send in a window.
    #[must_use]
    pub fn extra_retries(&self, now: Duration) -> f64 {
        let is_confirmed = self
            .confirmed_at
            .is_some_and(|at| now.saturating_sub(at) < CONFIRMATION_TIME);
        let divisor = self.divisor(now);
        if now < self.held_until || !is_confirmed || divisor == 0 {
            return 0.0;
        }
        self.extra_count / divisor as f64
    }
}
