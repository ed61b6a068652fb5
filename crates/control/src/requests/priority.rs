use super::*;

/// Lower bound of the answer length above which the priority drops, in tokens, so that a few
/// observations of tiny answers do not lower the priority of every request.
const MIN_THRESHOLD_TOKENS: f64 = 16.0;

/// Priority of a generation with `delivered_tokens` of its answer. It drops by one when the answer
/// reaches the length of short requests or twice its expected length, whichever is less, and again
/// each time that the length doubles, down to the floor: the length so far is all that tells long
/// requests from short ones of the same kind. A request without progress for `max_wait_ms` gets the
/// first priority again, so that long requests do not wait without bound.
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
