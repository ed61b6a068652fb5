use super::*;

/// Who this instance is, from its settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Start number of this process; must grow with each start under the same id.
    pub incarnation: Incarnation,
    /// Instance. Holds no `.`, because event ids join names with it.
    pub instance: InstanceId,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    /// Region.
    pub region: RegionId,
}
