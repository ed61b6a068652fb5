use super::*;

/// Result of comparing the time since the last arrival with the usual interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Silence {
    /// Later than one missed arrival explains.
    Late,
    /// Within the usual interval.
    OnTime,
    /// Later than the bound of the detector.
    Silent,
}

/// Accrual failure detector: compares the time since the last arrival with the moving mean and
/// deviation of the intervals between arrivals.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    deviation_s: f64,
    last_arrival: Duration,
    mean_s: f64,
}

impl FailureDetector {
    /// Creates a detector that expects an arrival in each `interval`.
    pub(crate) fn new(now: Duration, interval: Duration) -> Self {
        Self {
            deviation_s: 0.0,
            last_arrival: now,
            mean_s: interval.as_secs_f64(),
        }
    }

    /// Records an arrival and updates the averages.
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        let interval_s = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.last_arrival = now;
        let error_s = interval_s - self.mean_s;
        self.mean_s += error_s * SMOOTHING;
        self.deviation_s += (error_s.abs() - self.deviation_s) * SMOOTHING;
    }

    /// Restarts the silence at `now`, because this process did not listen before.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.last_arrival = now;
    }

    /// Compares the time since the last arrival with the bounds in the settings.
    pub(crate) fn silence(&self, now: Duration, settings: &MemberSettings) -> Silence {
        let deviation_s = self.deviation_s.max(self.mean_s * MIN_DEVIATION_SHARE);
        let bound_s = (self.mean_s + settings.silence_deviations * deviation_s).clamp(
            settings.silence_min_ms as f64 / 1_000.0,
            settings.silence_max_ms as f64 / 1_000.0,
        );
        let late_s = (self.mean_s + settings.late_deviations * deviation_s).min(bound_s);
        let silence_s = now.saturating_sub(self.last_arrival).as_secs_f64();
        if silence_s > bound_s {
            return Silence::Silent;
        }
        if silence_s > late_s {
            return Silence::Late;
        }
        Silence::OnTime
    }
}

/// Weight of a new interval in the exponential averages, which then cover about the last ten
/// intervals.
const SMOOTHING: f64 = 0.1;

/// Minimum deviation as a share of the mean. With `silence_deviations` at its default of 8, the
/// bound is at least 3 intervals, so that one missed reply never makes a process with steady
/// replies suspect.
const MIN_DEVIATION_SHARE: f64 = 0.25;
