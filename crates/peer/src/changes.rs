use super::*;

/// Answer to a request for the changes after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Changes {
    /// Complete lists, because the sender no longer has all changes after the version.
    Lists(Arc<OperatorLists>),
    /// Changes in order of version; empty if there are none.
    Records(Vec<ChangeRecord>),
}
