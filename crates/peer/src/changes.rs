use super::*;

/// Answer to a request for the changes after a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Changes {
    /// The sender no longer has all changes after the version; these are its lists.
    OperatorLists(Arc<OperatorLists>),
    /// Changes in order of version; empty when there are none.
    Records(Vec<ChangeRecord>),
}
