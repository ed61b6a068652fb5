use super::*;

/// Longest time that one read waits for a change.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time between reads, which limits their number when targets change constantly. A target that is
/// leaving continues to accept requests for two seconds after its announcement.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Largest number of changes to a list that are logged individually. Larger changes occur on all
/// instances at once, at the start and after the loss of the list.
pub(crate) const MAX_LOGGED_COUNT: usize = 16;

/// Time between two measurements of the time in which this instance can observe others.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// Measures the time in which this instance can observe the store and the other instances, however long its
/// other loops wait for an answer.
pub async fn observe_time(shared: Arc<SharedState>) {
    loop {
        shared.observed_time(clock::now());
        sleep(OBSERVATION_INTERVAL).await;
    }
}

/// Keeps the targets of a router up to date by reading the store, while no leader provides them.
pub async fn follow_targets(
    router: Arc<Router>,
    mut source: Box<dyn TargetSource>,
    shared: Arc<SharedState>,
) {
    let mut status = DependencyStatus::new("target list");
    let mut target_list = TargetList::default();
    let mut era: Option<u64> = None;
    loop {
        let now = clock::now();
        if shared.uses_relayed_state(now) || shared.waits_for_leader(now) {
            sleep(RELAYED_POLL_INTERVAL).await;
            continue;
        }
        if shared.relayed_targets(now).is_some() {
            // The list of another instance does not say which entries have lapsed, and the changes since the
            // last own read may not say so either.
            source.restart();
        }
        match source.read(MAX_WAIT).await {
            Err(error) => {
                status.record_failure(clock::now(), &error);
                sleep(status.retry_delay(shared.is_peer_answering(clock::now()))).await;
            }
            Ok(change) => {
                let now = clock::now();
                status.record_success(now);
                record_answer(&mut target_list, &shared, now);
                let before = std::mem::replace(&mut era, source.era());
                if before.is_some() && before != era {
                    tracing::info!(era, before, "target list was restored from a copy");
                    target_list.record_restored(now);
                }
                apply(&mut target_list, now, change);
                let listing = target_list.listing(now);
                if let Some(before) = shared.set_targets(now, listing.clone()) {
                    publish(&router, &before, &listing);
                }
            }
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Records that the store answered this instance, and continues from the list of another instance if that
/// one has read the store since.
fn record_answer(target_list: &mut TargetList, shared: &SharedState, now: Duration) {
    let observed = shared.observed_time(now);
    if let Some((targets, age)) = shared.relayed_targets(now) {
        target_list.reset(observed.saturating_sub(age), targets);
    }
    if let Some(outage) = target_list.record_answer(now, observed) {
        let outage_ms = outage.as_millis() as u64;
        tracing::info!(
            outage_ms,
            "target list is available again, missing targets may have lapsed"
        );
    }
}

fn apply(target_list: &mut TargetList, now: Duration, change: TargetChange) {
    match change {
        TargetChange::All(targets) => target_list.replace(now, targets),
        TargetChange::Some(changed, removed) => {
            for target in changed {
                target_list.upsert(target);
            }
            for id in removed {
                target_list.remove(now, &id);
            }
        }
    }
}

/// Publishes a changed list of targets to the router and logs the difference.
pub(crate) fn publish(router: &Router, before: &[Target], listing: &[Target]) {
    log_changes(before, listing);
    router.set_targets(listing);
}

fn log_changes(before: &[Target], after: &[Target]) {
    let known: HashMap<&str, &Target> = before.iter().map(|one| (&*one.id, one)).collect();
    let listed: HashSet<&str> = after.iter().map(|one| &*one.id).collect();
    let changed: Vec<&Target> = after
        .iter()
        .filter(|target| known.get(&*target.id).is_none_or(|old| old != target))
        .collect();
    let removed: Vec<&Target> = before
        .iter()
        .filter(|target| !listed.contains(&*target.id))
        .collect();
    if changed.len() + removed.len() > MAX_LOGGED_COUNT {
        tracing::info!(
            changed = changed.len(),
            gone = removed.len(),
            listed = after.len(),
            "target list changed"
        );
        return;
    }
    for target in changed {
        let held = target.held.map(|range| range.to_string());
        let change = match known.contains_key(&*target.id) {
            false => "listed",
            true => "changed",
        };
        tracing::info!(
            target = &*target.id,
            address = %target.address,
            domain = &*target.domain,
            held = held.unwrap_or_default(),
            is_leaving = target.is_leaving,
            change,
            "target list changed"
        );
    }
    for target in removed {
        tracing::info!(target = &*target.id, change = "gone", "target list changed");
    }
}
