use super::*;

/// Back end as this instance sees it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Health as this instance sees it.
    pub health: TargetHealth,
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation: start number of its process. Reports of an earlier process are ignored.
    pub incarnation: Incarnation,
    /// Fraction of its full share of new work, as the share grows after a start. Invariant: greater
    /// than 0 and at most 1.
    pub ramp_fraction: f64,
    /// Region.
    pub region: RegionId,
    /// Latest report, from a poll or a digest of a peer.
    pub report: LoadReport,
    /// Time at which the latest report was made, since the start of this process.
    pub reported_at: Duration,
    /// Its role. Never `ListingRole::Entry`.
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

    /// Whether it may get new work. A suspect target gets work only if no other target can.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        matches!(self.health, TargetHealth::Live | TargetHealth::Suspect)
    }
}
