use super::*;

/// Faults in the data of operators and callers.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Text that is not an event id of a stream.
    #[error("`{text}` is not an event id; send the `id` of the last event received, unchanged")]
    EventId {
        /// Text received.
        text: Arc<str>,
    },
    /// A key that signs in to another account.
    #[error("a key of this account already belongs to account `{account}`; create a new key")]
    KeyInUse {
        /// Account that has the key.
        account: AccountId,
    },
    /// A plan that accounts still use.
    #[error("account `{account}` is on plan `{id}`; move its accounts to another plan first")]
    PlanInUse {
        /// One of the accounts.
        account: AccountId,
        /// Plan.
        id: PlanId,
    },
    /// An account that is not in the list.
    #[error("there is no account `{id}`; list the accounts to see their ids")]
    UnknownAccount {
        /// Account.
        id: AccountId,
    },
    /// A plan that is not in the list.
    #[error("there is no plan `{id}`; create the plan first")]
    UnknownPlan {
        /// Plan.
        id: PlanId,
    },
    /// A field of a plan that must not be zero.
    #[error("`{field}` of plan `{id}` is 0; give it a value of at least 1")]
    ZeroField {
        /// Field.
        field: &'static str,
        /// Plan.
        id: PlanId,
    },
}
