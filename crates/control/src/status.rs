use super::*;

/// What a node believes of itself, its peers and its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Version of the lists that this instance uses.
    pub config_version: ConfigVersion,
    /// Instances, this one included, that use `config_version` or a later one.
    pub in_force_count: u32,
    /// Instances that are not down, this one included.
    pub instance_count: u32,
    /// Entry instances, this one first.
    pub instances: Vec<InstanceStatus>,
    /// Whether this instance admits new work.
    pub ready: bool,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

/// One entry instance in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Address for callers.
    pub address: SocketAddr,
    /// Version of the lists that it reported last.
    pub config_version: ConfigVersion,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// Instance.
    pub id: InstanceId,
}

/// One target in a `Status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Belief about it.
    pub health: TargetHealth,
    /// Target.
    pub id: TargetId,
    /// Tokens or calls per second.
    pub rate_per_s: f64,
    /// Requests running.
    pub running_count: u32,
    /// Requests that can run at once.
    pub slot_count: u32,
    /// Requests waiting at the target.
    pub waiting_count: u32,
}
