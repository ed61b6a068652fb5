use super::*;

/// One client account: the keys it signs in with and its plan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Hashes of the keys that sign in to this account; the keys themselves are never stored.
    #[serde(default)]
    pub key_hashes: BTreeSet<KeyHash>,
    /// Plan that sets what the account may use. Must name an entry of the plan list.
    pub plan: PlanId,
}

/// What accounts on one plan may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Time from arrival after which an answer is of no use, in milliseconds.
    pub deadline_ms: u64,
    /// Longest answer to one request, in tokens.
    pub max_answer_tokens: u32,
    /// Requests of one account that may run at once, over all instances.
    pub max_concurrent_count: u32,
    /// Requests of one account that may wait, at each instance.
    pub max_queued_count: u32,
    /// Longest wait from arrival until work starts, in milliseconds; at least 1. Work whose wait is
    /// expected to be longer is refused at once, and work that still waits by then is refused then.
    pub max_wait_ms: u64,
    /// Models that the plan may use.
    pub models: BTreeSet<ModelId>,
    /// Services that the plan may call.
    pub services: BTreeSet<ServiceId>,
    /// Share of capacity against other plans when capacity is short; at least 1.
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
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Plans and what each may use.
    pub plans: BTreeMap<PlanId, Plan>,
    /// Version of the last change in these lists.
    pub version: ConfigVersion,
}

impl OperatorLists {
    /// Applies `change`, which must be the change that follows `self.version`.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, when `change` does not fit the lists, for example
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
