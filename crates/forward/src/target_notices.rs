//! Takes note of what targets say about taking further requests.

use super::*;

/// Notes what an answer says about further requests to the target that sent it.
pub(crate) fn record(router: &Router, request: &str, target: &Stage, metadata: &ReplyMetadata) {
    if !metadata.is_leaving && metadata.retry_after.is_none() {
        return;
    }
    let now = clock::now();
    let mut fleet = router.fleet();
    if metadata.is_leaving && mark_leaving(&router.pool, &mut fleet, now, target) {
        tracing::info!(request, target = &*target.id, "told in an answer");
    }
    if let Some(wait) = metadata.retry_after {
        mark_paused(&mut fleet, now, target, wait);
    }
}

/// Notes that a target leaves, and closes the idle connections to it. Returns whether that was not known.
pub(crate) fn mark_leaving(pool: &Pool, fleet: &mut Fleet, now: Duration, target: &Stage) -> bool {
    if !fleet.record_leaving(now, target.key) {
        return false;
    }
    pool.close(&target.id);
    tracing::info!(target = &*target.id, "target leaves, it says");
    true
}

/// Notes that a target wants no requests from this instance for `wait`.
pub(crate) fn mark_paused(fleet: &mut Fleet, now: Duration, target: &Stage, wait: Duration) {
    if !fleet.pause(now, target.key, wait) {
        return;
    }
    metrics::counter!("forward_holds_total").increment(1);
    tracing::info!(
        target = &*target.id,
        wait_ms = wait.as_millis() as u64,
        "target wants no requests"
    );
}
