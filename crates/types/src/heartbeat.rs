use super::*;

/// What an instance believes of a target or peer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TargetHealth {
    /// Takes no new work; considered dead.
    Down,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Reports on time.
    #[default]
    Live,
    /// Late or refusing; takes new work only if nothing else can.
    Suspect,
}

/// Load of one target, as its collector saw it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetDigest {
    /// Time since the report was true, in milliseconds.
    pub age_ms: u32,
    /// The collector's belief.
    pub health: TargetHealth,
    /// Start number of the target's process.
    pub incarnation: Incarnation,
    /// Models held. Left out when unchanged since an earlier heartbeat to the same peer.
    pub models: Option<Vec<LoadedModel>>,
    /// Tokens or calls per second.
    pub rate_per_s: f32,
    /// Requests running.
    pub running_count: u16,
    /// Requests that can run at once.
    pub slot_count: u16,
    /// Target.
    pub target: TargetId,
    /// Requests waiting.
    pub waiting_count: u16,
}

/// Use of one account's limits at one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Account.
    pub account: AccountId,
    /// Requests running.
    pub running_count: u32,
    /// Requests waiting.
    pub waiting_count: u32,
}

/// Requests that were running on targets when these crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Targets lost while they ran the request.
    pub crashes: BTreeSet<TargetId>,
    /// Request by content.
    pub fingerprint: Fingerprint,
    /// Time until the fingerprint may be forgotten, in milliseconds.
    pub remaining_ms: u64,
}

/// A process that is about to stop, or has stopped, by the word of any source.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Instance or target.
    pub id: Arc<str>,
    /// Start number of the process. Later processes under the same id are not leaving.
    pub incarnation: Incarnation,
}

/// Periodic message from one instance to each peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Version of the sender's lists.
    pub config_version: ConfigVersion,
    /// Time since the sender confirmed its version with the store, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Crashes seen in the last minutes.
    pub crashes: Vec<CrashReport>,
    /// Demand of accounts with running or waiting requests.
    pub demands: Vec<Demand>,
    /// Departures that the sender learned of in the last 30 s, so that the platform's list may lag.
    #[serde(default)]
    pub departures: Vec<Departure>,
    /// Targets that the sender collects.
    pub digests: Vec<TargetDigest>,
    /// Start number of the sender's process.
    pub incarnation: Incarnation,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Sender.
    pub sender: InstanceId,
    /// Requests that the sender could take now.
    pub spare_count: u32,
}
