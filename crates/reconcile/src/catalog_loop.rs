use super::*;

/// Longest time that one read waits for a change. A change ends the wait at once; a read without a
/// change confirms the configuration as of the time at which the read was sent. Including the hop
/// through another instance, this uses 1.3 s of the 4.5 s during which API keys are accepted
/// without a new confirmation, so an instance that is cut off continues to serve for another 3 s.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(800);

/// Delay before it is checked again whether the first configuration may be read from the store.
const TRUST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Keeps the configuration of a router up to date by reading it from the store.
pub async fn follow_catalog(
    router: Arc<Router>,
    mut source: Box<dyn CatalogSource>,
    shared: Arc<SharedState>,
) {
    let mut status = DependencyStatus::new("configuration");
    let mut wait = Duration::ZERO;
    loop {
        let now = clock::now();
        if shared.uses_relayed_state(now) || shared.waits_for_leader(now) {
            wait = Duration::ZERO;
            sleep(RELAYED_POLL_INTERVAL).await;
            continue;
        }
        let is_first = router.catalog().catalog().is_none();
        if is_first && !shared.with_store_trust(|trust| trust.is_usable(now)) {
            sleep(TRUST_POLL_INTERVAL).await;
            continue;
        }
        match source.read(wait).await {
            Err(error) => {
                status.record_failure(clock::now(), &error);
                // A read without a wait confirms the configuration as soon as the store answers.
                wait = Duration::ZERO;
                sleep(status.retry_delay(shared.is_peer_answering(clock::now()))).await;
            }
            Ok(read) => {
                status.record_success(clock::now());
                apply_read(&router, &shared, read, "read");
                wait = MAX_WAIT;
            }
        }
    }
}

/// Applies the result of a read to the router and notifies the other loops of a new version.
/// `origin` is `read` or `relayed` and appears in the log message.
pub(crate) fn apply_read(router: &Router, shared: &SharedState, read: CatalogRead, origin: &str) {
    let mut latest = router.catalog();
    let mut has_changed = false;
    if let Some(catalog) = read.catalog {
        let (version, before) = (catalog.version(), latest.version());
        let is_taken = latest.offer(catalog);
        has_changed = is_taken;
        let age_ms = clock::now().saturating_sub(read.sent_at).as_millis() as u64;
        tracing::info!(version, before, is_taken, age_ms, "configuration {origin}");
    }
    let is_confirmed = read.is_current && latest.confirm(read.version, read.sent_at);
    let held = latest.version();
    drop(latest);
    if is_confirmed {
        shared.with_store_trust(|trust| trust.record_settled_era(read.era));
    }
    if read.is_current && !is_confirmed {
        let read = read.version;
        tracing::debug!(read, held, "an older configuration confirms nothing");
    }
    if has_changed {
        shared.notify_changed();
    }
}
