use super::*;

/// An instance of the router that accepts requests of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: Arc<str>,
    /// Id by which logs and other instances refer to it.
    pub id: Arc<str>,
}
