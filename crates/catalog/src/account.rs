use super::*;

/// A client account, identified by any of its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Keys that currently authenticate the account.
    pub keys: Vec<Arc<str>>,
    /// Name of the account, which is passed on to targets.
    pub name: AccountName,
    /// Rank of the account's requests; 0 is the most urgent. Overrides the rank of the route; none
    /// uses that of the route.
    pub rank: Option<u32>,
}
