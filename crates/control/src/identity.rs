use super::*;

/// Identity of this instance, from its settings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Address at which the instance accepts requests of callers.
    pub address: SocketAddr,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomain,
    /// Number of this start of the process. Must grow with each start under the same id, so that
    /// peers can tell a restarted process from the earlier one.
    pub incarnation: Incarnation,
    /// Id of the instance. Must not contain a `.`, as event ids join names with it.
    pub instance: InstanceId,
    /// Address at which the instance accepts messages of other instances.
    pub peer_address: SocketAddr,
    /// Region that the instance runs in.
    pub region: RegionId,
}
