use super::*;

/// Longest wait until the instances are ready. Generous: on an idle machine it is a few seconds.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Starts one entry instance in each failure domain and waits until both are ready.
pub(crate) async fn start_entries(
    settings: &DemoSettings,
    platform: SocketAddr,
    shutdown: watch::Receiver<Shutdown>,
) -> Result<Vec<Running>> {
    let mut entries = Vec::new();
    for (number, domain) in DOMAINS.iter().enumerate() {
        let settings = entry::Settings {
            address: settings.address(1 + number),
            failure_domain: (*domain).into(),
            instance: format!("entry-{}", number + 1).into(),
            operator_key_hashes: [hash_key(OPERATOR_KEY)].into(),
            peer: peer_settings(),
            peer_address: settings.address(11 + number),
            platform: platform::PlatformSettings {
                addresses: vec![platform],
                ..platform::PlatformSettings::default()
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

async fn wait_until_ready(address: SocketAddr) -> Result<()> {
    let end = Instant::now() + READY_LIMIT;
    loop {
        let last = match wire::call(address, &Call::get("/ready")).await {
            Err(error) => error.to_string(),
            Ok(reply) if reply.status.is_success() => return Ok(()),
            Ok(reply) => String::from_utf8_lossy(&reply.body).into_owned(),
        };
        if Instant::now() >= end {
            bail!("{address} is not ready after {READY_LIMIT:?}: {last}");
        }
        sleep(Duration::from_millis(50)).await;
    }
}
