use super::*;

/// Least answer that counts as longer than expected, so that few observations of tiny answers do
/// not set back everything.
const MIN_THRESHOLD_TOKENS: f64 = 16.0;

/// Priority of a generation with `delivered_tokens` of its answer: it falls by one when the answer
/// outruns short work, or twice what was expected of it, and each time that it doubles from there,
/// down to the floor. Nothing else tells long work from short work of the same kind. Work without progress for the longest
/// wait has the first priority again, so that the wait of long work is bounded.
#[must_use]
pub fn generation_priority(
    settings: &AdmissionSettings,
    expected_tokens: f64,
    delivered_tokens: u32,
    stalled: Duration,
) -> Priority {
    if stalled >= Duration::from_millis(settings.max_wait_ms) {
        return settings.first_priority;
    }
    let threshold_tokens = (2.0 * expected_tokens).max(MIN_THRESHOLD_TOKENS) as u32;
    let ratio = delivered_tokens / threshold_tokens.min(settings.short_tokens).max(1);
    let steps = (u32::BITS - ratio.leading_zeros()) as Priority;
    let lowered = settings.first_priority.saturating_sub(steps);
    lowered.max(settings.floor_priority.min(settings.first_priority))
}
