use super::*;

/// How long a process has been silent against its usual interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Silence {
    /// Later than one missed reply explains.
    Late,
    /// Within the usual interval.
    OnTime,
    /// Longer than the detector's bound.
    Silent,
}

/// Accrual failure detector over the intervals between arrivals.
#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    deviation_s: f64,
    last_arrival: Duration,
    mean_s: f64,
}

impl FailureDetector {
    /// Creates a detector that expects one arrival in each `interval`.
    pub(crate) fn new(now: Duration, interval: Duration) -> Self {
        Self {
            deviation_s: 0.0,
            last_arrival: now,
            mean_s: interval.as_secs_f64(),
        }
    }

    /// Records an arrival.
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        let interval_s = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.last_arrival = now;
        let error_s = interval_s - self.mean_s;
        self.mean_s += error_s * SMOOTHING;
        self.deviation_s += (error_s.abs() - self.deviation_s) * SMOOTHING;
    }

    /// Counts silence from `now`, because nobody listened before.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.last_arrival = now;
    }

    /// Compares the silence until `now` with the bounds.
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

/// Weight of a new interval in the averages; about the last ten intervals count.
const SMOOTHING: f64 = 0.1;

/// Least deviation as a part of the mean. With 8 deviations the bound is at least 3 intervals, so
/// that one missed reply never makes a steady process suspect.
const MIN_DEVIATION_SHARE: f64 = 0.25;
