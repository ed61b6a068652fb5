use super::*;

/// One edit of the operator lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Removes an account.
    DeleteAccount {
        /// Account.
        id: AccountId,
    },
    /// Removes a plan that no account uses.
    DeletePlan {
        /// Plan.
        id: PlanId,
    },
    /// Creates or replaces an account.
    PutAccount {
        /// New content.
        account: Account,
        /// Account.
        id: AccountId,
    },
    /// Creates or replaces a plan.
    PutPlan {
        /// Plan.
        id: PlanId,
        /// New content.
        plan: Plan,
    },
}

/// A change at its place in the version series.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// The change.
    pub change: Change,
    /// Operator's id of the edit.
    pub operation: OperationId,
    /// Version of the lists after the change.
    pub version: ConfigVersion,
}

/// Final answer to an operator's edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EditAnswer {
    /// The edit is in the version series and will not revert.
    Accepted {
        /// Version that the edit made.
        version: ConfigVersion,
    },
    /// Another edit came first; nothing changed.
    Conflict {
        /// Version now in force.
        current: ConfigVersion,
    },
    /// The edit does not fit the lists; nothing changed.
    Invalid {
        /// Fault and remedy.
        message: Arc<str>,
    },
    /// Not accepted, and nothing changed.
    Unavailable {
        /// Time after which the operator may try again.
        retry_after: Duration,
    },
    /// The store gave no reply, so the edit may or may not take effect. Sending the same
    /// operation id again tells which.
    Unknown {
        /// Time after which the operator may ask again.
        retry_after: Duration,
    },
}
