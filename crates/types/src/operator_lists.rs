use super::*;

/// A client account: the keys that authenticate it and its plan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Hashes of the keys that authenticate this account; the keys themselves are never stored.
    #[serde(default)]
    pub key_hashes: BTreeSet<KeyHash>,
    /// Plan that sets the limits of the account. Must name an entry of the plan list.
    pub plan: PlanId,
}

/// Limits and permissions of the accounts on one plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Time from arrival after which an answer is no longer useful, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum length of one answer, in tokens.
    pub max_answer_tokens: u32,
    /// Maximum number of concurrent requests of one account, across all instances.
    pub max_concurrent_count: u32,
    /// Maximum number of queued requests of one account, at each instance.
    pub max_queued_count: u32,
    /// Maximum time from arrival until work starts, in milliseconds; at least 1. A request whose
    /// expected wait is longer is refused at once; one that is still queued after this time is
    /// refused then.
    pub max_wait_ms: u64,
    /// Models that accounts on the plan may use.
    pub models: BTreeSet<ModelId>,
    /// Services that accounts on the plan may call.
    pub services: BTreeSet<ServiceId>,
    /// Weight of the plan's share when capacity is scarce; at least 1.
    pub share_weight: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            deadline_ms: 60_000,
            max_answer_tokens: 4_096,
            max_concurrent_count: 64,
            max_queued_count: 256,
            max_wait_ms: 10_000,
            models: BTreeSet::new(),
            services: BTreeSet::new(),
            share_weight: 1,
        }
    }
}

/// Both operator lists at one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorLists {
    /// Client accounts by id.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Plans by id.
    pub plans: BTreeMap<PlanId, Plan>,
    /// Version after the last change in these lists.
    pub version: ConfigVersion,
}

impl OperatorLists {
    /// Applies `change`, which must be the next change after `self.version`.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if `change` violates a rule of the lists, for example
    /// an account on a plan that does not exist.
    pub fn apply(&mut self, change: &Change) -> Result<(), Error> {
        match change {
            Change::DeleteAccount { id } => self.delete_account(id)?,
            Change::DeletePlan { id } => self.delete_plan(id)?,
            Change::PutAccount { account, id } => self.put_account(id, account)?,
            Change::PutPlan { id, plan } => self.put_plan(id, plan)?,
        }
        self.version += 1;
        Ok(())
    }

    fn delete_account(&mut self, id: &AccountId) -> Result<(), Error> {
        match self.accounts.remove(id) {
            None => Err(Error::UnknownAccount { id: id.clone() }),
            Some(_) => Ok(()),
        }
    }

    fn delete_plan(&mut self, id: &PlanId) -> Result<(), Error> {
        for (account, entry) in &self.accounts {
            if entry.plan == *id {
                return Err(Error::PlanInUse {
                    account: account.clone(),
                    id: id.clone(),
                });
            }
        }
        match self.plans.remove(id) {
            None => Err(Error::UnknownPlan { id: id.clone() }),
            Some(_) => Ok(()),
        }
    }

    fn put_account(&mut self, id: &AccountId, account: &Account) -> Result<(), Error> {
        if !self.plans.contains_key(&account.plan) {
            return Err(Error::UnknownPlan {
                id: account.plan.clone(),
            });
        }
        for (other, entry) in &self.accounts {
            if other != id && !entry.key_hashes.is_disjoint(&account.key_hashes) {
                return Err(Error::KeyInUse {
                    account: other.clone(),
                });
            }
        }
        self.accounts.insert(id.clone(), account.clone());
        Ok(())
    }

    fn put_plan(&mut self, id: &PlanId, plan: &Plan) -> Result<(), Error> {
        if plan.share_weight == 0 {
            return Err(Error::ZeroField {
                field: "share_weight",
                id: id.clone(),
            });
        }
        if plan.max_concurrent_count == 0 {
            return Err(Error::ZeroField {
                field: "max_concurrent_count",
                id: id.clone(),
            });
        }
        if plan.max_wait_ms == 0 {
            return Err(Error::ZeroField {
                field: "max_wait_ms",
                id: id.clone(),
            });
        }
        self.plans.insert(id.clone(), plan.clone());
        Ok(())
    }
}
