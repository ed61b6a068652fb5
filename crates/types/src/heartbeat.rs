use super::*;

/// Health of a target or peer as an instance judges it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetHealth {
    /// Considered dead; receives no new work.
    Down,
    /// Finishes its current work and receives no new work.
    Leaving,
    /// Reports on time.
    #[default]
    Live,
    /// Late or refusing work; receives new work only if no other target can.
    Suspect,
}

/// Load of one target as observed by the instance that collects its reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetDigest {
    /// Time since the report was current, in milliseconds.
    pub age_ms: u32,
    /// Health as judged by the collecting instance.
    pub health: TargetHealth,
    /// Incarnation of the target's process.
    pub incarnation: Incarnation,
    /// Models that the target holds; omitted if unchanged since an earlier heartbeat to the same
    /// peer.
    pub models: Option<Vec<LoadedModel>>,
    /// Tokens generated or calls served per second.
    pub rate_per_s: f32,
    /// Requests currently running.
    pub running_count: u16,
    /// Maximum number of concurrent requests.
    pub slot_count: u16,
    /// Target that the digest describes.
    pub target: TargetId,
    /// Requests queued at the target.
    pub waiting_count: u16,
}

/// Usage of one account's limits at one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Account that the requests belong to.
    pub account: AccountId,
    /// Requests of the account that this instance is running.
    pub running_count: u32,
    /// Requests of the account that are queued at this instance.
    pub waiting_count: u32,
}

/// Targets that crashed while they ran requests with the same content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Targets that were lost while they ran the request.
    pub crashes: BTreeSet<TargetId>,
    /// Identifies the request by its content.
    pub fingerprint: Fingerprint,
    /// Time until the fingerprint expires, in milliseconds.
    pub remaining_ms: u64,
}

/// A process that is about to stop or has stopped, as reported by any source.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Id of the instance or target.
    pub id: Arc<str>,
    /// Incarnation of the process. Later processes with the same id are not departing.
    pub incarnation: Incarnation,
}

/// Periodic message from an instance to each peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Version of the sender's operator lists.
    pub config_version: ConfigVersion,
    /// Time since the sender confirmed its version with the store, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Crashes seen within the last minutes.
    pub crashes: Vec<CrashReport>,
    /// Usage of each account with running or waiting requests.
    pub demands: Vec<Demand>,
    /// Departures that the sender learned of in the last 30 s, because the platform's list may lag
    /// behind them.
    #[serde(default)]
    pub departures: Vec<Departure>,
    /// Load of the targets whose reports the sender collects.
    pub digests: Vec<TargetDigest>,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Id of the sending instance.
    pub sender: InstanceId,
    /// Additional requests that the sender could accept now.
    pub spare_count: u32,
}
