use super::*;

/// Identifies one run of a target that keeps its id across restarts: its start time as the target itself
/// reports it; 0 if it reports none.
pub type Incarnation = u64;

/// Entry of a target in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Name of its hardware kind; none if it is not an engine.
    pub hardware: Option<Arc<str>>,
    /// Layers that it holds; none if it is not an engine or holds no layers.
    pub held: Option<LayerRange>,
    /// Id of the target.
    pub id: TargetId,
    /// Incarnation that is listed.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Whether it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Service whose requests it serves.
    pub service: ServiceName,
    /// Maximum number of requests that it runs at once.
    pub slot_count: u32,
}
