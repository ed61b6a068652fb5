use super::*;

/// Errors in the data of operators and callers.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The text is not the event id of a stream.
    #[error("`{text}` is not an event id; send the `id` of the last event received, unchanged")]
    EventId {
        /// Text received from the caller.
        text: Arc<str>,
    },
    /// A key already signs in to another account.
    #[error("a key of this account already belongs to account `{account}`; create a new key")]
    KeyInUse {
        /// Account that already has the key.
        account: AccountId,
    },
    /// The plan cannot be deleted because accounts still use it.
    #[error("account `{account}` is on plan `{id}`; move its accounts to another plan first")]
    PlanInUse {
        /// One of the accounts on the plan.
        account: AccountId,
        /// Plan that was to be deleted.
        id: PlanId,
    },
    /// The account is not in the list.
    #[error("there is no account `{id}`; list the accounts to see their ids")]
    UnknownAccount {
        /// Account that the change names.
        id: AccountId,
    },
    /// The plan is not in the list.
    #[error("there is no plan `{id}`; create the plan first")]
    UnknownPlan {
        /// Plan that the change names.
        id: PlanId,
    },
    /// A plan field that must be at least 1 is 0.
    #[error("`{field}` of plan `{id}` is 0; give it a value of at least 1")]
    ZeroField {
        /// Name of the field.
        field: &'static str,
        /// Plan that contains the field.
        id: PlanId,
    },
}
