use super::*;

/// Interval at which the entry in the platform's list is refreshed.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(1);

/// Registers this instance in the platform's list at regular intervals.
pub(crate) async fn keep_registered(app: Arc<App>) {
    let mut interval = tokio::time::interval(REGISTRATION_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        register_once(&app).await;
    }
}

async fn register_once(app: &App) {
    let identity = &app.identity;
    let listing = Listing {
        address: identity.address,
        failure_domain: identity.failure_domain.clone(),
        id: identity.instance.clone(),
        incarnation: identity.incarnation,
        leaving: app.leaving.load(Ordering::Relaxed),
        region: identity.region.clone(),
        role: ListingRole::Entry {
            peer_address: identity.peer_address,
        },
    };
    if let Err(error) = app.dependencies.listings.register(listing).await {
        tracing::warn!(
            ?error,
            "registration in the platform's list failed; retrying"
        );
    }
}

/// Waits for a shutdown request, and then until the node has finished its work, `drain_limit_ms`
/// has passed, or an immediate shutdown is requested.
pub(crate) async fn drain(app: &Arc<App>, shutdown: &mut watch::Receiver<Shutdown>) {
    let mut stopped = app.stopped.subscribe();
    if wait_for_shutdown(shutdown, Shutdown::Graceful).await == Shutdown::Immediate {
        warn_unfinished_work(app, "an immediate shutdown was requested");
        return;
    }
    tracing::info!(
        instance = &*app.identity.instance,
        "graceful shutdown started"
    );
    app.leaving.store(true, Ordering::Relaxed);
    app.report(Event::DrainStarted);
    tokio::join!(register_once(app), notify_peers(app));
    let limit = Duration::from_millis(app.settings.drain_limit_ms);
    tokio::select! {
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
        _ = wait_for_shutdown(shutdown, Shutdown::Immediate) => {
            warn_unfinished_work(app, "an immediate shutdown was requested");
        }
        () = tokio::time::sleep(limit) => warn_unfinished_work(app, "`drain_limit_ms` has passed"),
    }
}

/// Announces to all peers that this instance is leaving.
async fn notify_peers(app: &App) {
    let identity = &app.identity;
    let mut notices = Vec::new();
    for address in app.listing_cache.peer_addresses(&identity.instance) {
        let (instance, incarnation) = (identity.instance.clone(), identity.incarnation);
        notices.push(app.dependencies.peers.leave(address, instance, incarnation));
    }
    for result in futures::future::join_all(notices).await {
        if let Err(error) = result {
            tracing::debug!(%error, "failed to announce the shutdown to a peer");
        }
    }
}

/// Waits until `requested` or a more urgent shutdown is requested. A dropped sender counts as a
/// request for an immediate shutdown.
async fn wait_for_shutdown(
    shutdown: &mut watch::Receiver<Shutdown>,
    requested: Shutdown,
) -> Shutdown {
    match shutdown.wait_for(|level| *level >= requested).await {
        Err(_) => Shutdown::Immediate,
        Ok(level) => *level,
    }
}

/// Logs how many calls and streams the shutdown interrupts.
fn warn_unfinished_work(app: &App, reason: &str) {
    let (calls, streams) = app.registry.counts();
    tracing::warn!(
        instance = &*app.identity.instance,
        calls,
        streams,
        reason,
        "stopping without waiting for requests in progress"
    );
}
