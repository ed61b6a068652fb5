use super::*;

/// Another entry instance, as this instance sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for callers.
    pub address: SocketAddr,
    /// Version of its lists, from its last heartbeat.
    pub config_version: ConfigVersion,
    /// Time since it confirmed its version with the store, at its last heartbeat.
    pub confirmed_age: Duration,
    /// Crashes that it saw.
    pub crashes: Vec<CrashReport>,
    /// Demand of accounts at it.
    pub demands: Vec<Demand>,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// When its last heartbeat came; none before the first.
    pub last_heartbeat_at: Option<Duration>,
    /// Instance.
    pub id: InstanceId,
    /// Start number of its process.
    pub incarnation: Incarnation,
    /// Whether the addresses are those of the current process. They are not from the first heartbeat
    /// of a new process until the list names it.
    pub has_current_address: bool,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    /// Part of its full share that it may get now. Invariant: greater than 0 and at most 1.
    pub ramp_fraction: f64,
    /// Whether it serves callers, by its last heartbeat.
    pub ready: bool,
    /// Region.
    pub region: RegionId,
    /// Requests that it could take, by its last heartbeat.
    pub spare_count: u32,
}

impl Peer {
    pub(crate) fn from_listing(listing: Listing, peer_address: SocketAddr) -> Self {
        Self {
            address: listing.address,
            config_version: 0,
            confirmed_age: Duration::MAX,
            crashes: Vec::new(),
            demands: Vec::new(),
            failure_domain: listing.failure_domain,
            health: TargetHealth::Suspect,
            last_heartbeat_at: None,
            id: listing.id,
            incarnation: listing.incarnation,
            has_current_address: true,
            peer_address,
            ramp_fraction: 1.0,
            ready: false,
            region: listing.region,
            spare_count: 0,
        }
    }

    /// Whether it is heard from at a known address, is not leaving and serves callers.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.ready
            && self.has_current_address
            && self.last_heartbeat_at.is_some()
            && self.is_present()
    }

    /// Whether it is neither down nor leaving.
    #[must_use]
    pub fn is_present(&self) -> bool {
        matches!(self.health, TargetHealth::Live | TargetHealth::Suspect)
    }
}
