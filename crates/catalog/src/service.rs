use super::*;

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Connections that one target accepts from all callers together.
    pub connection_count: Option<u32>,
    /// Model that its targets run; none for plain services.
    pub engine: Option<Arc<EngineProfile>>,
    /// Path of its health check.
    pub health_path: String,
    /// Name.
    pub name: ServiceName,
}
