use super::*;

/// Settings of the quarantine for parts of prompts, and requests, that crash targets.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSettings {
    /// Crashes closer together than this count as one: a lost failure domain ends many targets at once.
    pub crash_gap: Duration,
    /// Number of crashes from which a part is refused although answers to it have begun here before.
    pub known_part_crashes: u32,
    /// Hold of such a part after that number of crashes. Short, because it has probably not caused them.
    pub known_part_hold: Duration,
    /// Factor by which an answer must go on for longer than one whose target crashed to show that its parts have
    /// not caused that crash.
    pub outlast_factor: f64,
    /// Time that is added to it.
    pub outlast_margin: Duration,
    /// Crashes that come longer after the first event of an answer are not attributed to its parts.
    pub max_answer_time: Duration,
    /// Number of crashes from which a part is refused if none of them came between the head of an answer and its
    /// first event. Many sound requests of a target are interrupted by such a crash.
    pub long_phase_crashes: u32,
    /// Time for which other instances are not told of such a crash if all parts of the request have been answered
    /// for longer before. Nearly always, answers that go on elsewhere clear them within that time.
    pub report_delay: Duration,
    /// Number of crashes from which a request is refused as a whole. The first one may be a coincidence, and
    /// its caller sends it again.
    pub request_crashes: u32,
    /// Time for which a part is refused after its first crash, before one request with it is tried. Longer
    /// than engines take to restart and load their layers, as a trial may cost a pipeline.
    pub min_hold: Duration,
    /// Factor by which each further crash extends the hold.
    pub hold_factor: f64,
    /// Longest hold.
    pub max_hold: Duration,
    /// Share of the hold over which the instances spread their trials, so that few of them try a part before
    /// the result of the first trial is known to all.
    pub trial_spread: f64,
    /// Time after which a trial without a result no longer prevents another one.
    pub trial_timeout: Duration,
    /// Time after which a crash is forgotten. Longer than `max_hold`, so that a part that is rarely sent is
    /// tried before it is forgotten.
    pub retention: Duration,
    /// Time after which a crash is forgotten whose victims have no suspect parts, so that only the request as a
    /// whole is a suspect. Longer than the hold after `request_crashes` crashes.
    pub request_retention: Duration,
    /// Time for which victims that were cleared are kept, so that all instances learn that they were
    /// cleared.
    pub cleared_retention: Duration,
}

impl Default for PartSettings {
    fn default() -> Self {
        Self {
            crash_gap: Duration::from_millis(300),
            known_part_crashes: 3,
            known_part_hold: Duration::from_secs(1),
            outlast_factor: 2.0,
            outlast_margin: Duration::from_secs(1),
            max_answer_time: Duration::from_secs(2),
            long_phase_crashes: 3,
            report_delay: Duration::from_secs(1),
            request_crashes: 2,
            min_hold: Duration::from_secs(30),
            hold_factor: 3.0,
            max_hold: Duration::from_secs(600),
            trial_spread: 0.25,
            trial_timeout: Duration::from_secs(10),
            retention: Duration::from_secs(1_200),
            request_retention: Duration::from_secs(120),
            cleared_retention: Duration::from_secs(30),
        }
    }
}

impl PartSettings {
    /// Hold after the given number of crashes, of which there is at least one.
    pub(crate) fn hold_duration(&self, crash_count: u32) -> Duration {
        let factor = self
            .hold_factor
            .powi(crash_count.saturating_sub(1).min(16) as i32);
        self.min_hold.mul_f64(factor).min(self.max_hold)
    }

    /// Time for which an answer must go on after its first event to show that its parts have not caused a crash in
    /// `phase`.
    pub(crate) fn outlasting_time(&self, phase: CrashPhase) -> Duration {
        match phase {
            CrashPhase::BeforeHead | CrashPhase::BeforeFirstEvent => Duration::ZERO,
            CrashPhase::AfterFirstEvent(time) => {
                time.mul_f64(self.outlast_factor) + self.outlast_margin
            }
        }
    }
}
