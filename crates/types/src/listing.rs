use super::*;

/// One row of the platform's list of instances. The list lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Address for callers (entry instances) or for requests (targets).
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Id of the instance or target.
    pub id: Arc<str>,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// Whether the process is about to stop and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Region.
    pub region: RegionId,
    /// What the process does.
    pub role: ListingRole,
}

/// What a listed process does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingRole {
    /// Model engine.
    Engine {
        /// Kind of accelerator.
        accelerator: AcceleratorKind,
        /// Whether the engine refuses orders with an old fencing number.
        checks_fence: bool,
    },
    /// Entry instance of the router.
    Entry {
        /// Address for other entry instances.
        peer_address: SocketAddr,
    },
    /// Server of a plain service.
    Service {
        /// Operations that it offers.
        operations: Vec<ServiceOperation>,
        /// Service.
        service: ServiceId,
    },
}

/// Operation of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceOperation {
    /// Whether it may be repeated.
    pub kind: OperationKind,
    /// Name in the path of a call.
    pub name: Arc<str>,
}
