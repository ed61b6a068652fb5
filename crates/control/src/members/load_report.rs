use super::*;

/// Maximum number of slots or requests accepted from a report.
const MAX_COUNT: u32 = 100_000;

/// Maximum rate accepted from a report, per second.
const MAX_RATE_PER_S: f64 = 1e6;

/// Maximum age accepted from a report; older reports are equally useless.
const MAX_AGE_MS: u64 = 3_600_000;

/// Limits the numbers of a report to values that routing can calculate with, and removes models
/// with an empty layer range or one that exceeds the model. Reports are untrusted: a target can
/// send anything.
pub(crate) fn sanitize_report(mut report: LoadReport) -> LoadReport {
    report.age_ms = report.age_ms.min(MAX_AGE_MS);
    report.running_count = report.running_count.min(MAX_COUNT);
    report.slot_count = report.slot_count.min(MAX_COUNT);
    report.waiting_count = report.waiting_count.min(MAX_COUNT);
    report.rate_per_s = match report.rate_per_s.is_nan() {
        false => report.rate_per_s.clamp(0.0, MAX_RATE_PER_S),
        true => 0.0,
    };
    report.models.retain(|model| {
        model.layers.start < model.layers.end && model.layers.end <= model.layer_count
    });
    report
}
