use super::*;

/// Longest time that the histograms hold, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Result of both phases.
#[derive(Debug)]
pub struct Report {
    pub(crate) asked: PhaseReport,
    pub(crate) fixed: PhaseReport,
}

/// Result of one phase.
#[derive(Debug)]
pub(crate) struct PhaseReport {
    complete_count: u64,
    /// Waits for the first token of short work, in microseconds.
    first_token_us: Histogram<u64>,
    /// Gaps between tokens, in microseconds.
    token_gap_us: Histogram<u64>,
    incomplete_count: u64,
    resume_count: u64,
    pub(crate) shed_count: u64,
    token_count: u64,
    pub(crate) elapsed: Duration,
}

impl PhaseReport {
    pub(crate) fn new() -> Result<Self> {
        Ok(Self {
            complete_count: 0,
            first_token_us: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)?,
            token_gap_us: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)?,
            incomplete_count: 0,
            resume_count: 0,
            shed_count: 0,
            token_count: 0,
            elapsed: Duration::ZERO,
        })
    }

    pub(crate) fn record(&mut self, kind: RequestKind, outcome: &RequestOutcome) {
        self.complete_count += u64::from(outcome.is_complete);
        self.incomplete_count += u64::from(!outcome.is_complete);
        self.resume_count += u64::from(outcome.resume_count);
        self.token_count += outcome.gaps.len() as u64;
        if let Some(wait) = outcome.first_token_wait {
            self.token_count += 1;
            if kind == RequestKind::Short {
                self.first_token_us
                    .saturating_record(wait.as_micros() as u64);
            }
        }
        for gap in &outcome.gaps {
            self.token_gap_us.saturating_record(gap.as_micros() as u64);
        }
    }

    fn rows(&self) -> [(&'static str, f64); 9] {
        let quantile_ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let elapsed_s = self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        [
            ("complete", self.complete_count as f64),
            ("incomplete", self.incomplete_count as f64),
            ("shed by this program", self.shed_count as f64),
            ("resumed streams", self.resume_count as f64),
            ("tokens/s", self.token_count as f64 / elapsed_s),
            (
                "short first token p50 ms",
                quantile_ms(&self.first_token_us, 0.5),
            ),
            (
                "short first token p99 ms",
                quantile_ms(&self.first_token_us, 0.99),
            ),
            ("token gap p95 ms", quantile_ms(&self.token_gap_us, 0.95)),
            ("token gap max ms", quantile_ms(&self.token_gap_us, 1.0)),
        ]
    }
}

impl Report {
    /// Requests of both phases whose answers were not complete.
    #[must_use]
    pub fn incomplete_count(&self) -> u64 {
        self.asked.incomplete_count + self.fixed.incomplete_count
    }

    /// Requests of both phases whose answers were complete.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        self.asked.complete_count + self.fixed.complete_count
    }

    /// Table of both phases and of their ratio.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<26} {:>12} {:>12} {:>8}\n",
            "", "fixed", "asked", "ratio"
        );
        for ((name, fixed), (_, asked)) in self.fixed.rows().into_iter().zip(self.asked.rows()) {
            let ratio = if fixed == 0.0 {
                "-".into()
            } else {
                format!("{:.3}", asked / fixed)
            };
            text.push_str(&format!(
                "{name:<26} {fixed:>12.2} {asked:>12.2} {ratio:>8}\n"
            ));
        }
        text
    }
}
