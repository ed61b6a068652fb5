use super::*;

/// Priority of a generation with `delivered_tokens` of its answer: it falls by one each time that
/// the answer doubles beyond short work, down to the floor. Work without progress for the longest
/// wait has the first priority again, so that the wait of long work is bounded.
#[must_use]
pub fn generation_priority(
    settings: &AdmissionSettings,
    delivered_tokens: u32,
    stalled: Duration,
) -> Priority {
    if stalled >= Duration::from_millis(settings.max_wait_ms) {
        return settings.first_priority;
    }
    let ratio = delivered_tokens / settings.short_tokens.max(1);
    let steps = (u32::BITS - ratio.leading_zeros()) as Priority;
    let lowered = settings.first_priority.saturating_sub(steps);
    lowered.max(settings.floor_priority.min(settings.first_priority))
}
