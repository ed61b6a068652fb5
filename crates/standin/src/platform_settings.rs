use super::*;

/// Settings of the fake platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Time after which a row of the process list expires if it is not refreshed, in milliseconds.
    pub expiry_ms: u64,
    /// Faults that are injected from the start.
    pub faults: PlatformFaults,
    /// Limits of the HTTP server.
    pub limits: Limits,
    /// Log level and format of the binary.
    pub log: LogSettings,
    /// Age of the state that the process list shows, in milliseconds.
    pub list_lag_ms: u64,
    /// Seed of the random generator for delays and lost replies.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            expiry_ms: 6_000,
            faults: PlatformFaults::default(),
            limits: Limits {
                // All processes of a test or demo connect from the same loopback address.
                client_connection_count: 4_096,
                ..Limits::default()
            },
            log: LogSettings::default(),
            list_lag_ms: 1_000,
            seed: 1,
        }
    }
}

/// Faults injected into the platform. `PUT /faults` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Upper bound of a random delay that is added to `delay_ms`, in milliseconds.
    pub delay_jitter_ms: u64,
    /// Delay of each reply, in milliseconds.
    pub delay_ms: u64,
    /// How all requests fail; none for normal service.
    pub down: Option<Outage>,
    /// Delay after which late writes are applied, in milliseconds.
    pub late_ms: u64,
    /// Number of next transactions whose connection is closed at once and which are applied
    /// `late_ms` later.
    pub late_write_count: u64,
    /// Age of the state that the process list shows, in milliseconds; none uses the value of the
    /// settings.
    pub list_lag_ms: Option<u64>,
    /// Number of next transactions that are applied but whose reply is lost.
    pub lost_reply_count: u64,
    /// Loses the reply of every transaction whose number among all writes is a multiple of this; 0
    /// disables it.
    pub lost_reply_every: u64,
    /// Share of transactions whose reply is lost, chosen at random, 0 to 1.
    pub lost_reply_fraction: f64,
}

/// How a platform that is down handles requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Closes the connection without a reply.
    Disconnect,
    /// Replies with status 503 and marks the request as not run.
    Refuse,
    /// Keeps the connection open and never replies.
    Silent,
}
