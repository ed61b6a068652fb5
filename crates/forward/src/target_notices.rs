//! Records announcements of targets about further requests: that they are leaving, ask for a pause, or limit
//! the rate of requests.

use super::*;

/// Records what an answer announces about further requests to its target, except a limit on their rate.
pub(crate) fn record(router: &Router, request: &str, target: &Stage, metadata: &ReplyMetadata) {
    if !metadata.is_leaving && metadata.retry_after.is_none() {
        return;
    }
    let now = clock::now();
    if metadata.is_leaving && mark_leaving(router, now, target) {
        tracing::info!(
            request,
            target = &*target.id,
            "target announced in an answer that it is leaving"
        );
    }
    if let Some(wait) = metadata.retry_after {
        mark_paused(&mut router.fleet(), now, target, wait);
    }
}

/// Records the limit on the rate of requests in an answer. Returns whether it changed.
pub(crate) fn record_limit(router: &Router, target: &Stage, rate_per_s: Option<f64>) -> bool {
    record_rate_limit(&mut router.fleet(), clock::now(), target, rate_per_s)
}

/// Records the limit on the rate of requests that a target announced, or that it announced none. Returns
/// whether this is new.
pub(crate) fn record_rate_limit(
    fleet: &mut Fleet,
    now: Duration,
    target: &Stage,
    rate_per_s: Option<f64>,
) -> bool {
    let before = fleet.rate_limit(target.key).and_then(|limit| limit.per_s);
    if !fleet.record_rate_limit(now, target.key, rate_per_s) {
        return false;
    }
    metrics::counter!("forward_rate_limit_changes_total").increment(1);
    tracing::info!(
        target = &*target.id,
        rate_per_s,
        before_per_s = before,
        "target changed its limit on requests"
    );
    true
}

/// Records that a target is leaving, and closes the idle connections to it. Returns whether this is new.
pub(crate) fn mark_leaving(router: &Router, now: Duration, target: &Stage) -> bool {
    let is_new = router.fleet().record_leaving(now, target.key);
    if !is_new {
        return false;
    }
    router.pool.close(target.key);
    tracing::info!(target = &*target.id, "target is leaving");
    true
}

/// Records that a target asks this instance to send no requests for `wait`.
pub(crate) fn mark_paused(fleet: &mut Fleet, now: Duration, target: &Stage, wait: Duration) {
    if !fleet.pause(now, target.key, wait) {
        return;
    }
    metrics::counter!("forward_holds_total").increment(1);
    tracing::info!(
        target = &*target.id,
        wait_ms = wait.as_millis() as u64,
        "target asked for a pause in requests"
    );
}
