use super::*;

/// Ordered entry addresses for a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// Addresses, the preferred one first.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the answer.
    pub time_to_live: Duration,
}
