use super::*;

/// Tells apart the starts of a target that keeps its id: the time of its start as it states it; 0 if it
/// states none.
pub type Incarnation = u64;

/// A target as it is listed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind of hardware; engines only.
    pub hardware: Option<Arc<str>>,
    /// Layers that it holds; engines only.
    pub held: Option<LayerRange>,
    /// Id of this start of it.
    pub id: TargetId,
    /// Which start of it is listed.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Whether it is leaving and takes no new requests.
    pub is_leaving: bool,
    /// Service that it serves.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slot_count: u32,
}
