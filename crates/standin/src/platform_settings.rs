use super::*;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Time after which a row of the instance list expires when it is not refreshed, in
    /// milliseconds.
    pub expiry_ms: u64,
    /// Faults at the start.
    pub faults: PlatformFaults,
    /// Limits on requests.
    pub limits: Limits,
    /// What the binary logs.
    pub log: LogSettings,
    /// Time by which the instance list is behind, in milliseconds.
    pub list_lag_ms: u64,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            expiry_ms: 6_000,
            faults: PlatformFaults::default(),
            limits: Limits {
                // All instances of a test or demo may share one address.
                client_connection_count: 4_096,
                ..Limits::default()
            },
            log: LogSettings::default(),
            list_lag_ms: 1_000,
            seed: 1,
        }
    }
}

/// Faults of the platform. `PUT /faults` replaces them all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Longest random delay of each reply, on top of `delay_ms`, in milliseconds.
    pub delay_jitter_ms: u64,
    /// Delay of each reply, in milliseconds.
    pub delay_ms: u64,
    /// How every request fails; none serves requests.
    pub down: Option<Outage>,
    /// Time after which late writes are applied, in milliseconds.
    pub late_ms: u64,
    /// Next writes whose connection breaks at once and which are applied `late_ms` later.
    pub late_write_count: u64,
    /// Time by which the instance list is behind, in milliseconds; none takes the settings' value.
    pub list_lag_ms: Option<u64>,
    /// Next writes that are applied but whose reply is lost.
    pub lost_reply_count: u64,
    /// Every how many writes the reply is lost; 0 for never.
    pub lost_reply_every: u64,
    /// Part of all writes whose reply is lost, chosen at random.
    pub lost_reply_fraction: f64,
}

/// How a platform that is down treats requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Closes the connection without a reply.
    Disconnect,
    /// Replies with status 503.
    Refuse,
    /// Never replies.
    Silent,
}
