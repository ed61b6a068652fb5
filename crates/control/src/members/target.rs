use super::*;

/// A back end, as this instance sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// Target.
    pub id: TargetId,
    /// Start number of its process. Reports of an earlier process are dropped.
    pub incarnation: Incarnation,
    /// Part of its full share that it may get now. Invariant: greater than 0 and at most 1.
    pub ramp_fraction: f64,
    /// Region.
    pub region: RegionId,
    /// Newest report.
    pub report: LoadReport,
    /// When the newest report was true, in time since this process started.
    pub reported_at: Duration,
    /// What it does. Never `ListingRole::Entry`.
    pub role: ListingRole,
}

impl Target {
    pub(crate) fn from_listing(listing: Listing, now: Duration) -> Self {
        Self {
            address: listing.address,
            failure_domain: listing.failure_domain,
            health: TargetHealth::Suspect,
            id: listing.id,
            incarnation: listing.incarnation,
            ramp_fraction: 1.0,
            region: listing.region,
            report: LoadReport::default(),
            reported_at: now,
            role: listing.role,
        }
    }

    /// Whether it may get new work. Suspect targets get work only if nothing else can.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        matches!(self.health, TargetHealth::Live | TargetHealth::Suspect)
    }
}
