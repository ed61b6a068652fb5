use super::*;

/// Entry addresses that a caller knows, and until when.
#[derive(Debug)]
pub(crate) struct Addresses {
    asks: bool,
    entries: Vec<SocketAddr>,
    key: String,
    kept: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    model: String,
}

impl Addresses {
    pub(crate) fn new(settings: &LoadSettings, key: &str, asks: bool) -> Self {
        Self {
            asks,
            entries: settings.entries.clone(),
            key: key.into(),
            kept: Mutex::new(None),
            model: settings.model.clone(),
        }
    }

    /// Addresses in the order in which to try them.
    pub(crate) async fn get(&self) -> Vec<SocketAddr> {
        if !self.asks {
            return self.entries.clone();
        }
        let mut kept = self.kept.lock().await;
        if let Some((until, addresses)) = kept.as_ref()
            && Instant::now() < *until
        {
            return addresses.clone();
        }
        for entry in &self.entries {
            if let Ok((time_to_live, addresses)) = self.ask(*entry).await {
                *kept = Some((Instant::now() + time_to_live, addresses.clone()));
                return addresses;
            }
        }
        self.entries.clone()
    }

    async fn ask(&self, entry: SocketAddr) -> Result<(Duration, Vec<SocketAddr>)> {
        let call = Call::get(format!("/v1/addresses?model={}", self.model))
            .header("authorization", format!("Bearer {}", self.key));
        let reply: Value = wire::call(entry, &call).await?.json()?;
        let time_to_live = reply["time_to_live_ms"]
            .as_u64()
            .context("no `time_to_live_ms`")?;
        let mut addresses = Vec::new();
        for address in reply["addresses"].as_array().context("no `addresses`")? {
            addresses.push(
                address["address"]
                    .as_str()
                    .context("no `address`")?
                    .parse()?,
            );
        }
        if addresses.is_empty() {
            bail!("no instance takes requests");
        }
        Ok((Duration::from_millis(time_to_live), addresses))
    }
}
