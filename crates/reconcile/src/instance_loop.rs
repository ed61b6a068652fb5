use super::*;

/// Time between beats and reads.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between beats and reads while the table does not answer, but other instances do.
const SERVED_INTERVAL: Duration = Duration::from_millis(3_000);
/// Time between beats and reads right after the start, until there is a leader to follow.
const START_INTERVAL: Duration = Duration::from_millis(300);
/// Rounds after the start that are short.
const START_ROUNDS: u32 = 8;
/// Rounds of the leader between reads of the table; those who follow it call it.
const LEADER_READ_ROUNDS: u32 = 5;

/// Keeps this instance in the table, the instances of the router current, and the leader's row
/// renewed. While this instance follows a leader, the leader does all that for it.
pub async fn follow_instances(
    router: Arc<Router>,
    mut table: Box<dyn InstanceTable>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut link = Link::new("instance table");
    let mut own = OwnRow {
        is_listed: false,
        row,
    };
    let mut round_count = 0;
    loop {
        let started_at = clock::now();
        round_count += 1;
        let is_leading = lock(&leadership).fence(started_at).is_some();
        let is_relayed = shared.is_relayed(started_at);
        let must_leave = own.is_listed && !router.is_ready();
        let is_round = !is_leading || round_count % LEADER_READ_ROUNDS == 0;
        let is_skipped = own.is_listed && (is_relayed || !is_round);
        if must_leave || !is_skipped {
            let result = round(&router, &mut *table, &mut own, &shared, &leadership).await;
            match result {
                Err(error) => link.failed(clock::now(), &error),
                Ok(()) => link.answered(clock::now()),
            }
        }
        // A table that does not answer takes no leader either.
        let is_waiting = link.is_lost() && shared.is_served(clock::now());
        if !is_relayed && !is_waiting {
            let live = shared.with_membership(|membership| membership.live(clock::now()));
            let live = with_own(live, &router, &own.row);
            take(&router, live);
            if let Err(error) = lead(&router, &mut *table, &leadership).await {
                link.failed(clock::now(), &error);
            }
        }
        let spent = clock::now().saturating_sub(started_at);
        let is_starting =
            round_count <= START_ROUNDS && !(own.is_listed && (is_leading || is_relayed));
        let interval = match is_starting {
            _ if is_waiting => SERVED_INTERVAL,
            true => START_INTERVAL,
            false => INTERVAL,
        };
        sleep(interval.saturating_sub(spent)).await;
    }
}

/// Row of this instance.
struct OwnRow {
    is_listed: bool,
    row: InstanceRow,
}

async fn round(
    router: &Router,
    table: &mut dyn InstanceTable,
    own: &mut OwnRow,
    shared: &SharedState,
    leadership: &Mutex<Leadership>,
) -> Result<(), Error> {
    // The row of the leader, which it renews, says that it lives.
    let is_confirmed = own.is_listed && lock(leadership).fence(clock::now()).is_some();
    if router.is_ready() && !is_confirmed {
        table.beat(own.row.clone()).await?;
        own.is_listed = true;
    } else if own.is_listed && !router.is_ready() {
        table.remove(own.row.id.clone()).await?;
        own.is_listed = false;
    }
    let view = table.read().await?;
    let now = clock::now();
    shared.with_membership(|membership| {
        membership.observe(now, view.instances);
        if let Some((leader, _)) = view
            .leader
            .as_ref()
            .filter(|(row, _)| row.holder != own.row.start)
        {
            membership.confirmed(now.saturating_sub(view.leader_age), &leader.live);
        }
    });
    lock(leadership).observe(now, view.leader, view.leader_age);
    Ok(())
}

/// This instance knows of itself whether it takes requests.
fn with_own(mut live: Vec<Instance>, router: &Router, row: &InstanceRow) -> Vec<Instance> {
    live.retain(|instance| instance.id != row.id);
    if router.is_ready() {
        live.push(row.instance());
        live.sort_by(|one, other| one.id.cmp(&other.id));
    }
    live
}

async fn lead(
    router: &Router,
    table: &mut dyn InstanceTable,
    leadership: &Mutex<Leadership>,
) -> Result<(), Error> {
    if router.is_leaving() {
        let released = lock(leadership).release();
        if let Some((row, expected_version)) = released {
            table.lead(row, expected_version).await?;
        }
        return Ok(());
    }
    let now = clock::now();
    let ids = router.instances().into_iter().map(|instance| instance.id);
    let step = {
        let mut leadership = lock(leadership);
        leadership.set_live(ids.collect());
        leadership.step(now)
    };
    let LeaseStep::Write {
        expected_version,
        row,
    } = step
    else {
        return Ok(());
    };
    match table.lead(row.clone(), expected_version).await? {
        None => lock(leadership).conflicted(),
        Some(version) => lock(leadership).written(now, row, version),
    }
    Ok(())
}

/// Takes over the instances that callers may use.
pub(crate) fn take(router: &Router, live: Vec<Instance>) {
    let known = router.instances();
    if known == live {
        return;
    }
    let ids: Vec<&str> = live.iter().map(|instance| &*instance.id).collect();
    tracing::info!(instances = ids.join(","), "instances changed");
    router.set_instances(live);
}
