use super::*;

/// Largest value of the histograms, in microseconds; longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Results of both phases.
#[derive(Debug)]
pub struct Report {
    /// Phase in which requests use the addresses that an instance answers.
    pub(crate) asked: PhaseReport,
    /// Phase in which requests use the addresses of the settings.
    pub(crate) fixed: PhaseReport,
}

/// Results of one phase.
#[derive(Debug)]
pub(crate) struct PhaseReport {
    complete_count: u64,
    /// Times to the first token of short answers, in microseconds.
    first_token_us: Histogram<u64>,
    /// Times between consecutive tokens of all answers, in microseconds.
    token_gap_us: Histogram<u64>,
    incomplete_count: u64,
    resume_count: u64,
    /// Requests that were not sent because `concurrent_count` requests were in progress.
    pub(crate) shed_count: u64,
    token_count: u64,
    /// Time from the start of the phase to the end of its last request.
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

    /// Names and values of the table's rows.
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
    /// Number of requests of both phases without a complete answer; shed requests do not count.
    #[must_use]
    pub fn incomplete_count(&self) -> u64 {
        self.asked.incomplete_count + self.fixed.incomplete_count
    }

    /// Number of requests of both phases with a complete answer.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        self.asked.complete_count + self.fixed.complete_count
    }

    /// Formats a table with the values of both phases and their ratio.
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
