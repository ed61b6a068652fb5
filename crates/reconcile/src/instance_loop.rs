use super::*;

/// Time between checks which instances are live.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the list of instances that callers may use up to date, whatever source this instance follows and however
/// long the stores take to answer.
pub async fn follow_instances(
    router: Arc<Router>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    loop {
        let now = clock::now();
        shared.with_membership(|membership| membership.remove_expired(now));
        // Others had no time to reach an instance that has just woken.
        if !shared.has_just_woken(now) {
            publish_instances(&router, &shared, &row, now);
        }
        if lock(&leadership).fence(now).is_some() {
            router.confirm_instances();
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Adds or removes this instance itself, which knows without a report whether it accepts requests.
fn with_own_instance(mut live: Vec<Instance>, router: &Router, row: &InstanceRow) -> Vec<Instance> {
    live.retain(|instance| instance.id != row.id);
    if router.is_ready() {
        live.push(row.instance());
        live.sort_by(|one, other| one.id.cmp(&other.id));
    }
    live
}

/// Replaces the list of instances that callers may use by those that are live at `now`, and logs the difference.
pub(crate) fn publish_instances(
    router: &Router,
    shared: &SharedState,
    row: &InstanceRow,
    now: Duration,
) {
    let live = shared.with_membership(|membership| membership.live(now));
    let live = with_own_instance(live, router, row);
    let known = router.instances();
    if known == live {
        return;
    }
    let before: HashSet<&str> = known.iter().map(|instance| &*instance.id).collect();
    let after: HashSet<&str> = live.iter().map(|instance| &*instance.id).collect();
    let came: Vec<&str> = after.difference(&before).copied().collect();
    let gone = before.difference(&after).map(|id| {
        let silence = shared.with_membership(|membership| membership.silence(now, id));
        (*id, silence)
    });
    let gone: Vec<(&str, Option<Duration>)> = gone.collect();
    for silence in gone.iter().filter_map(|(_, silence)| *silence) {
        metrics::histogram!("instances_removed_silence_seconds").record(silence.as_secs_f64());
    }
    tracing::info!(
        count = live.len(),
        came = came[..came.len().min(MAX_LOGGED_COUNT)].join(","),
        gone = describe_gone(&gone),
        source = shared.instances_source().map(tracing::field::display),
        "instances changed"
    );
    router.set_instances(live);
}

/// Ids of instances that were removed, each with the time in milliseconds since its last sign of activity that
/// this instance knows.
fn describe_gone(gone: &[(&str, Option<Duration>)]) -> String {
    let describe = |(id, silence): &(&str, Option<Duration>)| match silence {
        None => (*id).to_owned(),
        Some(silence) => format!("{id}:{}", silence.as_millis()),
    };
    let gone = gone.iter().take(MAX_LOGGED_COUNT).map(describe);
    gone.collect::<Vec<String>>().join(",")
}
