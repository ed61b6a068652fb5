use super::*;

/// Another entry instance as this instance sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address for callers.
    pub address: SocketAddr,
    /// Version of its operator lists, from its last heartbeat.
    pub config_version: ConfigVersion,
    /// Time since it confirmed that version with the store, as of its last heartbeat.
    pub confirmed_age: Duration,
    /// Crashes that it has reported, from its last heartbeat.
    pub crashes: Vec<CrashReport>,
    /// Demand of the accounts at it, from its last heartbeat.
    pub demands: Vec<Demand>,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Health as this instance sees it.
    pub health: TargetHealth,
    /// Time of its last heartbeat, since the start of this process; `None` before the first.
    pub last_heartbeat_at: Option<Duration>,
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation: start number of its process.
    pub incarnation: Incarnation,
    /// Whether the addresses belong to its current process. After the first heartbeat of a new
    /// process they do not, until the platform's list names that process.
    pub has_current_address: bool,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    /// Fraction of its full share of new work, as the share grows after a start. Invariant: greater
    /// than 0 and at most 1.
    pub ramp_fraction: f64,
    /// Whether it serves callers, from its last heartbeat.
    pub ready: bool,
    /// Region.
    pub region: RegionId,
    /// Number of further requests that it could accept, from its last heartbeat.
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

    /// Whether it may get work: it has sent heartbeats, its address is known, it serves callers,
    /// and it is neither down nor leaving.
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
