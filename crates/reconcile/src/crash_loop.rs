use super::*;

/// Time between two checks whether the records must be written, and between attempts to read them.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Name under which the records count among those of other instances.
const STORE: &str = ":store";

/// Reads the requests, and parts of prompts, that crashed targets from the store when the instance starts, and writes
/// them while it leads.
pub async fn keep_crash_records(
    router: Arc<Router>,
    mut table: Box<dyn CrashTable>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut records = CrashRecords::default();
    let mut was_leader = false;
    loop {
        let is_leader = lock(&leadership).fence(clock::now()).is_some();
        // Another leader may have written since the last read.
        let must_read = !records.is_read() || is_leader && !was_leader;
        was_leader = is_leader;
        let result = if must_read {
            read(&router, table.as_mut(), &mut records).await
        } else if is_leader {
            write(&router, table.as_mut(), &mut records).await
        } else {
            Ok(())
        };
        if let Err(error) = result {
            tracing::info!(%error, must_read, "records of crashes are not available");
            was_leader &= !must_read;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn read(
    router: &Router,
    table: &mut dyn CrashTable,
    records: &mut CrashRecords,
) -> Result<(), Error> {
    let stored = table.read().await?;
    records.record_read(&stored);
    let StoredCrashes { requests, victims } = stored;
    if !requests.is_empty() || !victims.is_empty() {
        tracing::info!(
            count = requests.len(),
            victims = victims.len(),
            "read requests that crashed targets"
        );
    }
    let now = clock::now();
    router.prompt_parts().merge_phased(now, &victims);
    let mut suspects = router.suspects();
    suspects.merge_reports(now, &STORE.into(), &requests);
    Ok(())
}

async fn write(
    router: &Router,
    table: &mut dyn CrashTable,
    records: &mut CrashRecords,
) -> Result<(), Error> {
    let now = clock::now();
    let digest = router.prompt_parts().phased_digest(now);
    if records.must_examine(digest) {
        write_victims(router, table, records).await?;
        records.record_examined(digest);
    }
    let requests = router.suspects().refused_reports(now);
    if !records.must_write_requests(&requests) {
        return Ok(());
    }
    table.write_requests(&requests).await?;
    tracing::info!(
        count = requests.len(),
        "wrote requests that crashed targets"
    );
    records.record_requests(&requests);
    Ok(())
}

async fn write_victims(
    router: &Router,
    table: &mut dyn CrashTable,
    records: &mut CrashRecords,
) -> Result<(), Error> {
    let victims = router.prompt_parts().refused_reports(clock::now());
    if !records.must_write_victims(&victims) {
        return Ok(());
    }
    table.write_victims(&victims).await?;
    tracing::info!(
        victims = victims.len(),
        "wrote crashes for which parts of prompts are refused"
    );
    records.record_victims(&victims);
    Ok(())
}
