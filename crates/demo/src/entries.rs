use super::*;

/// Timeout until the instances are ready. On an idle machine they take a few seconds.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Starts one entry instance in each failure domain and waits until all are ready.
pub(crate) async fn start_entries(
    settings: &DemoSettings,
    platform: SocketAddr,
    shutdown: watch::Receiver<Shutdown>,
) -> Result<Vec<RunningInstance>> {
    let mut entries = Vec::new();
    for (number, domain) in DOMAINS.iter().enumerate() {
        let settings = entry::Settings {
            address: settings.address(1 + number),
            failure_domain: (*domain).into(),
            instance: format!("entry-{}", number + 1).into(),
            operator_key_hashes: [hash_key(OPERATOR_KEY)].into(),
            peer: peer_settings(),
            peer_address: settings.address(11 + number),
            platform: storage::PlatformSettings {
                addresses: vec![platform],
                ..storage::PlatformSettings::default()
            },
            region: "local".into(),
            ..entry::Settings::default()
        };
        entries.push(entry::start(settings, shutdown.clone()).await?);
    }
    for entry in &entries {
        wait_until_ready(entry.address).await?;
    }
    Ok(entries)
}

fn peer_settings() -> peer::PeerSettings {
    peer::PeerSettings {
        secret: "demo-peer-secret".into(),
        ..peer::PeerSettings::default()
    }
}

/// Waits until an instance is ready and knows the others. Before that, it would report an edit as
/// in force on 1 of 1 instances.
async fn wait_until_ready(address: SocketAddr) -> Result<()> {
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let last_state = match fetch_instance_count(address).await {
            Err(error) => error.to_string(),
            Ok(Some(count)) if count == DOMAINS.len() => return Ok(()),
            Ok(count) => format!("it knows {} instances", count.unwrap_or(1)),
        };
        if Instant::now() >= deadline {
            bail!("{address} is not ready after {READY_LIMIT:?}: {last_state}");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Number of instances that a ready instance knows, including itself; none if it has no count yet.
async fn fetch_instance_count(address: SocketAddr) -> Result<Option<usize>> {
    let reply = wire::call(address, &Call::get("/ready")).await?;
    if !reply.status.is_success() {
        bail!("{}", String::from_utf8_lossy(&reply.body));
    }
    let client = Client {
        entries: vec![address],
        key: OPERATOR_KEY.into(),
        time_limit: READY_LIMIT,
    };
    Ok(client.status().await?.instance_count)
}
