use super::*;

/// Accounts, plans and keys, indexed for the authentication of requests.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    /// Hash of each key and the account that it belongs to.
    keys: Vec<(Hash, AccountId)>,
    pub(crate) lists: Arc<OperatorLists>,
}

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) account: AccountId,
    pub(crate) plan: Plan,
}

impl Directory {
    pub(crate) fn new(lists: Arc<OperatorLists>) -> Self {
        let mut keys = Vec::new();
        for (id, account) in &lists.accounts {
            for hash in &account.key_hashes {
                if let Ok(hash) = Hash::from_hex(&**hash) {
                    keys.push((hash, id.clone()));
                }
            }
        }
        Self { keys, lists }
    }

    /// Returns the account and plan of the key in a request. Compares with every stored hash, and
    /// each time in constant time, so that the duration reveals nothing about the stored hashes.
    pub(crate) fn authenticate(&self, request: &Request) -> Result<Caller, Fault> {
        let hash = bearer_hash(request).ok_or_else(unknown_key)?;
        let mut account = None;
        for (known, id) in &self.keys {
            // Comparing `blake3::Hash` takes constant time.
            if *known == hash {
                account = Some(id);
            }
        }
        let account = account.ok_or_else(unknown_key)?;
        let entry = self.lists.accounts.get(account).ok_or_else(unknown_key)?;
        let plan = self.lists.plans.get(&entry.plan).ok_or_else(unknown_key)?;
        Ok(Caller {
            account: account.clone(),
            plan: plan.clone(),
        })
    }

    /// Checks that the caller's plan includes the model.
    pub(crate) fn authorize_model(&self, caller: &Caller, model: &ModelId) -> Result<(), Fault> {
        if caller.plan.models.contains(model) {
            return Ok(());
        }
        let is_known = self
            .lists
            .plans
            .values()
            .any(|plan| plan.models.contains(model));
        Err(not_in_plan("model", model, is_known))
    }

    /// Checks that the caller's plan includes the service.
    pub(crate) fn authorize_service(
        &self,
        caller: &Caller,
        service: &ServiceId,
    ) -> Result<(), Fault> {
        if caller.plan.services.contains(service) {
            return Ok(());
        }
        let is_known = self
            .lists
            .plans
            .values()
            .any(|plan| plan.services.contains(service));
        Err(not_in_plan("service", service, is_known))
    }
}

/// Checks that the key of a request is one of the operator keys in the settings. Compares with all
/// of them, in constant time.
pub(crate) fn authenticate_operator(
    hashes: &BTreeSet<KeyHash>,
    request: &Request,
) -> Result<(), Fault> {
    let hash = bearer_hash(request).ok_or_else(unknown_key)?;
    let mut is_known = false;
    for known in hashes {
        is_known |= Hash::from_hex(&**known).is_ok_and(|known| known == hash);
    }
    if is_known { Ok(()) } else { Err(unknown_key()) }
}

/// Returns the hash of the bearer token; none if there is no valid `Authorization` header.
fn bearer_hash(request: &Request) -> Option<Hash> {
    let (scheme, key) = request.header("authorization")?.split_once(' ')?;
    let key = key.trim();
    let is_bearer = scheme.eq_ignore_ascii_case("bearer") && !key.is_empty();
    is_bearer.then(|| blake3::hash(key.as_bytes()))
}

/// Returns the error answer for a model or service (`noun`) outside the plan: 403 if another plan
/// includes it (`is_known`), and 404 otherwise.
fn not_in_plan(noun: &str, name: &str, is_known: bool) -> Fault {
    if is_known {
        let kind = format!("{noun}_not_in_plan");
        let message = format!(
            "the plan of this account does not have the {noun} `{name}`; ask the operator to add it"
        );
        return Fault::new(StatusCode::FORBIDDEN, &kind, message);
    }
    let message = format!("there is no {noun} `{name}`; check its name");
    Fault::new(StatusCode::NOT_FOUND, &format!("unknown_{noun}"), message)
}

fn unknown_key() -> Fault {
    let message =
        "the key is missing or unknown; send `Authorization: Bearer KEY` with a valid key";
    Fault::new(StatusCode::UNAUTHORIZED, "unknown_key", message)
}
