use super::*;

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Model that its targets run; none for plain services.
    pub engine: Option<Arc<EngineProfile>>,
    /// Name.
    pub name: ServiceName,
}
