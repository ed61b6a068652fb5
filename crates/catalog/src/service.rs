use super::*;

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Resource costs of the model that the targets run; none for a plain service.
    pub engine: Option<Arc<EngineProfile>>,
    /// Name of the service.
    pub name: ServiceName,
}
