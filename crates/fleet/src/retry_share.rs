use super::*;

/// Share of one instance in the extra retries that all instances together may send in a window.
#[derive(Clone, Debug)]
pub struct RetryShare {
    extra_count: f64,
    /// An earlier start of this instance may have used its share shortly before it ended, so this one has none
    /// until then.
    held_until: Duration,
    instance_count: usize,
}

impl RetryShare {
    /// Creates the share of an instance that has just started. `extra_count` is the number of extra retries of
    /// all instances.
    #[must_use]
    pub fn new(extra_count: f64, held_until: Duration) -> Self {
        Self {
            extra_count,
            held_until,
            instance_count: 0,
        }
    }

    /// Records the number of listed instances.
    pub fn set_instance_count(&mut self, count: usize) {
        self.instance_count = count;
    }

    /// Extra retries that this instance may send in a window.
    #[must_use]
    pub fn extra_retries(&self, now: Duration) -> f64 {
        if now < self.held_until {
            return 0.0;
        }
        self.extra_count / self.instance_count.max(1) as f64
    }
}
