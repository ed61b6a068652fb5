use super::*;

/// Time between beats and reads.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps this instance in the table, the instances of the router current, and the leader's row
/// renewed.
pub async fn follow_instances(
    router: Arc<Router>,
    mut table: Box<dyn InstanceTable>,
    mut row: InstanceRow,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut link = Link::new("instance table");
    let mut membership = Membership::default();
    let mut is_listed = false;
    loop {
        let started_at = clock::now();
        let result = round(&router, &mut *table, &mut row, &mut is_listed).await;
        match result {
            Err(error) => link.failed(clock::now(), &error),
            Ok(view) => {
                let now = clock::now();
                link.answered(now);
                membership.observe(now, view.instances);
                take(&router, membership.live(now));
                lock(&leadership).observe(now, view.leader);
                if let Err(error) = lead(&router, &mut *table, &leadership).await {
                    link.failed(clock::now(), &error);
                }
            }
        }
        let spent = clock::now().saturating_sub(started_at);
        sleep(INTERVAL.saturating_sub(spent)).await;
    }
}

async fn round(
    router: &Router,
    table: &mut dyn InstanceTable,
    row: &mut InstanceRow,
    is_listed: &mut bool,
) -> Result<InstanceView, Error> {
    if router.is_ready() {
        row.beat_count += 1;
        table.beat(row.clone()).await?;
        *is_listed = true;
    } else if *is_listed {
        table.remove(row.id.clone()).await?;
        *is_listed = false;
    }
    table.read().await
}

async fn lead(
    router: &Router,
    table: &mut dyn InstanceTable,
    leadership: &Mutex<Leadership>,
) -> Result<(), Error> {
    let now = clock::now();
    let step = lock(leadership).step(now);
    let LeaseStep::Write {
        expected_version,
        row,
    } = step
    else {
        return Ok(());
    };
    if router.is_leaving() {
        return Ok(());
    }
    if let Some(version) = table.lead(row.clone(), expected_version).await? {
        lock(leadership).written(now, row, version);
    }
    Ok(())
}

fn take(router: &Router, live: Vec<Instance>) {
    let known = router.instances();
    if known == live {
        return;
    }
    let ids: Vec<&str> = live.iter().map(|instance| &*instance.id).collect();
    tracing::info!(instances = ids.join(","), "instances changed");
    router.set_instances(live);
}

fn lock(leadership: &Mutex<Leadership>) -> MutexGuard<'_, Leadership> {
    leadership.lock().unwrap_or_else(PoisonError::into_inner)
}
