use super::*;

/// One row of the platform's list of instances and targets. The list lags behind reality.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Address for callers (instances) or for requests (targets).
    pub address: SocketAddr,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Id of the instance or target.
    pub id: Arc<str>,
    /// Start number of the process.
    pub incarnation: Incarnation,
    /// Whether the process is about to stop and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Region of the process.
    pub region: RegionId,
    /// Kind of process, with the data specific to that kind.
    pub role: ListingRole,
}

/// Kind of a listed process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingRole {
    /// Engine that runs models.
    Engine {
        /// Kind of accelerator the engine runs on.
        accelerator: AcceleratorKind,
        /// Whether the engine rejects orders with an outdated fencing number.
        checks_fence: bool,
    },
    /// Instance of the router.
    Entry {
        /// Address for other instances.
        peer_address: SocketAddr,
    },
    /// Server of a plain service.
    Service {
        /// Operations that the server offers.
        operations: Vec<ServiceOperation>,
        /// Service that the server belongs to.
        service: ServiceId,
    },
}

/// An operation of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceOperation {
    /// Whether the operation may be repeated.
    pub kind: OperationKind,
    /// Name of the operation, used in the path of a call.
    pub name: Arc<str>,
}
