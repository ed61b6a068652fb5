use super::*;

/// A client account, found by one of its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Keys in force.
    pub keys: Vec<Arc<str>>,
    /// Name, which targets are told.
    pub name: AccountName,
    /// Rank of its requests; 0 comes first. Goes before the rank of the route.
    pub rank: Option<u32>,
}
