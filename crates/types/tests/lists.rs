//! Guards against changes of the operator lists that leave an account without a plan, or a key that
//! authenticates two accounts.

#![allow(clippy::unwrap_used)]

use {
    types::{Account, Change, Error, OperatorLists, Plan, hash_key},
    yare::parameterized,
};

fn account(plan: &str, secret: &str) -> Account {
    Account {
        key_hashes: [hash_key(secret)].into(),
        plan: plan.into(),
    }
}

fn lists() -> OperatorLists {
    let mut lists = OperatorLists::default();
    lists
        .apply(&Change::PutPlan {
            id: "basic".into(),
            plan: Plan::default(),
        })
        .unwrap();
    let account = account("basic", "one");
    lists
        .apply(&Change::PutAccount {
            account,
            id: "office".into(),
        })
        .unwrap();
    lists
}

#[test]
fn each_change_increments_the_version() {
    let mut lists = lists();
    assert_eq!(lists.version, 2);
    lists
        .apply(&Change::DeleteAccount {
            id: "office".into(),
        })
        .unwrap();
    lists
        .apply(&Change::DeletePlan { id: "basic".into() })
        .unwrap();
    assert_eq!(
        lists,
        OperatorLists {
            version: 4,
            ..OperatorLists::default()
        }
    );
}

#[parameterized(
    key_of_another_account = {
        Change::PutAccount { account: account("basic", "one"), id: "branch".into() },
        Error::KeyInUse { account: "office".into() },
    },
    plan_in_use = {
        Change::DeletePlan { id: "basic".into() },
        Error::PlanInUse { account: "office".into(), id: "basic".into() },
    },
    unknown_account = {
        Change::DeleteAccount { id: "branch".into() },
        Error::UnknownAccount { id: "branch".into() },
    },
    unknown_plan = {
        Change::PutAccount { account: account("gold", "two"), id: "branch".into() },
        Error::UnknownPlan { id: "gold".into() },
    },
    zero_weight = {
        Change::PutPlan { id: "gold".into(), plan: Plan { share_weight: 0, ..Plan::default() } },
        Error::ZeroField { field: "share_weight", id: "gold".into() },
    },
)]
fn rejected_change_leaves_the_lists_unchanged(change: Change, fault: Error) {
    let mut lists = lists();
    let before = lists.clone();
    assert_eq!(lists.apply(&change), Err(fault));
    assert_eq!(lists, before);
}
