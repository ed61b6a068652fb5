use super::*;

/// One edit of the operator lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Removes an account.
    DeleteAccount {
        /// Account to remove; must exist.
        id: AccountId,
    },
    /// Removes a plan that no account uses.
    DeletePlan {
        /// Plan to remove; must exist.
        id: PlanId,
    },
    /// Creates or replaces an account.
    PutAccount {
        /// Complete new content; replaces any earlier content.
        account: Account,
        /// Account to create or replace.
        id: AccountId,
    },
    /// Creates or replaces a plan.
    PutPlan {
        /// Plan to create or replace.
        id: PlanId,
        /// Complete new content; replaces any earlier content.
        plan: Plan,
    },
}

/// A change together with its position in the version series.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRecord {
    /// Edit that leads from the previous version to `version`.
    pub change: Change,
    /// Id that the operator gave the edit, used to recognize a repeated submission.
    pub operation: OperationId,
    /// Version of the lists after the change is applied.
    pub version: ConfigVersion,
}

/// Final answer to an operator's edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EditAnswer {
    /// The edit is in the version series and will not be reverted.
    Accepted {
        /// Version that the edit produced.
        version: ConfigVersion,
    },
    /// Another edit was committed first; nothing changed.
    Conflict {
        /// Version that is currently in force.
        current: ConfigVersion,
    },
    /// The edit violates a rule of the lists; nothing changed.
    Invalid {
        /// What is wrong and how to correct it.
        message: Arc<str>,
    },
    /// The edit was not accepted, and nothing changed.
    Unavailable {
        /// Time after which the operator may retry.
        retry_after: Duration,
    },
    /// The store did not reply, so the edit may or may not take effect. Sending the same operation
    /// id again returns the result.
    Unknown {
        /// Time after which the operator may send the operation id again.
        retry_after: Duration,
    },
}
