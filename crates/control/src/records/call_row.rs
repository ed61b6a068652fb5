use super::*;

/// Value of the row `call/{account}/{key}`, stored as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CallRow {
    pub(crate) body_hash: Arc<str>,
    /// Wall-clock time in milliseconds after which the row may be deleted.
    pub(crate) expires_ms: u64,
    /// Incarnation of the owner's process.
    pub(crate) incarnation: Incarnation,
    pub(crate) nonce: Nonce,
    pub(crate) owner: InstanceId,
    /// Reply of the service. Invariant: present exactly when `state` is `Ran`.
    pub(crate) result: Option<CallReply>,
    pub(crate) state: CallRowState,
}

/// State of a claim as its row stores it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallRowState {
    NotRun,
    Ran,
    Started,
    Unknown,
}

impl CallRow {
    pub(crate) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(crate) fn to_value(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("a call row has no map with keys that are not strings")
            .into()
    }
}

/// Key of the row of a call. The account is escaped, so that no two pairs of account and key share
/// a row.
pub(crate) fn call_key(account: &str, key: &str) -> Arc<str> {
    let account = account.replace('%', "%25").replace('/', "%2F");
    format!("{CALL_PREFIX}{account}/{key}").into()
}

/// Key of the index row under which the sweep finds a call, sorted by the hour of its expiry.
pub(crate) fn expiry_key(call_key: &str, expires_ms: u64) -> Arc<str> {
    let call = call_key.strip_prefix(CALL_PREFIX).unwrap_or(call_key);
    format!("{EXPIRY_PREFIX}{:010}/{call}", expires_ms / HOUR_MS).into()
}

/// Key of the call row that an index row points to.
pub(crate) fn indexed_call(expiry_key: &str) -> Option<Arc<str>> {
    let (_, call) = expiry_key.strip_prefix(EXPIRY_PREFIX)?.split_once('/')?;
    Some(format!("{CALL_PREFIX}{call}").into())
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_ms(context: &Context) -> u64 {
    let elapsed = context.wall.duration_since(SystemTime::UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}

pub(crate) const EXPIRY_PREFIX: &str = "call-expiry/";
pub(crate) const HOUR_MS: u64 = 3_600_000;
const CALL_PREFIX: &str = "call/";
