use super::*;

/// Errors in the data of operators and callers.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text is not the event id of a stream.
    #[error("`{text}` is not an event id; send the `id` of the last received event unchanged")]
    EventId {
        /// Text received from the caller.
        text: Arc<str>,
    },
    /// A key already signs in to another account.
    #[error("a key of this account is already used by account `{account}`; create a new key")]
    KeyInUse {
        /// Account that already has the key.
        account: AccountId,
    },
    /// The plan cannot be deleted because accounts still use it.
    #[error(
        "plan `{id}` is still used by account `{account}`; move its accounts to another plan first"
    )]
    PlanInUse {
        /// One of the accounts on the plan.
        account: AccountId,
        /// Plan that was to be deleted.
        id: PlanId,
    },
    /// The account is not in the list.
    #[error("account `{id}` does not exist; list the accounts to see valid ids")]
    UnknownAccount {
        /// Account that the change names.
        id: AccountId,
    },
    /// The plan is not in the list.
    #[error("plan `{id}` does not exist; create the plan first")]
    UnknownPlan {
        /// Plan that the change names.
        id: PlanId,
    },
    /// A plan field that must be at least 1 is 0.
    #[error("`{field}` of plan `{id}` is 0; set it to at least 1")]
    ZeroField {
        /// Name of the field.
        field: &'static str,
        /// Plan that contains the field.
        id: PlanId,
    },
}
