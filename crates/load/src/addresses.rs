use super::*;

/// Provides the entry addresses that a request may use: the configured ones, or those that an
/// instance answers to an address query, cached for their time to live.
#[derive(Debug)]
pub(crate) struct AddressSource {
    uses_discovery: bool,
    entries: Vec<SocketAddr>,
    key: String,
    /// Addresses of the last query and when they expire; none before the first query.
    cached: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    model: String,
}

impl AddressSource {
    pub(crate) fn new(settings: &LoadSettings, key: &str, uses_discovery: bool) -> Self {
        Self {
            uses_discovery,
            entries: settings.entries.clone(),
            key: key.into(),
            cached: Mutex::new(None),
            model: settings.model.clone(),
        }
    }

    /// Returns the addresses in the order in which to try them. If no instance answers the address
    /// query, the configured addresses are used.
    pub(crate) async fn get(&self) -> Vec<SocketAddr> {
        if !self.uses_discovery {
            return self.entries.clone();
        }
        let mut cached = self.cached.lock().await;
        if let Some((expires_at, addresses)) = cached.as_ref()
            && Instant::now() < *expires_at
        {
            return addresses.clone();
        }
        for entry in &self.entries {
            if let Ok((time_to_live, addresses)) = self.fetch(*entry).await {
                *cached = Some((Instant::now() + time_to_live, addresses.clone()));
                return addresses;
            }
        }
        self.entries.clone()
    }

    async fn fetch(&self, entry: SocketAddr) -> Result<(Duration, Vec<SocketAddr>)> {
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
            bail!("no instance accepts requests");
        }
        Ok((Duration::from_millis(time_to_live), addresses))
    }
}
