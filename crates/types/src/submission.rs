use super::*;

/// Importance of a request at an engine; a higher value runs first.
pub type Priority = u8;

/// A caller's request for generated text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateSubmission {
    /// Account that asks.
    pub account: AccountId,
    /// Time from arrival after which the answer is of no use.
    pub deadline: Duration,
    /// Tokens already delivered to the caller, when another instance takes the stream over.
    pub delivered_tokens: u32,
    /// Hash of account, model and prompt.
    pub fingerprint: Fingerprint,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Model.
    pub model: ModelId,
    /// Hashes of growing prefixes of the prompt, shortest first, for prefix-cache affinity.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Request.
    pub request: RequestId,
}

/// Whether an operation of a service may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    NonRepeatable,
}

/// A caller's call of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallSubmission {
    /// Account that asks.
    pub account: AccountId,
    /// Hash of the body, so that one key cannot stand for two bodies.
    pub body_hash: Arc<str>,
    /// Time from arrival after which the answer is of no use.
    pub deadline: Duration,
    /// Hash of account, operation and body.
    pub fingerprint: Fingerprint,
    /// Caller's idempotency key. Invariant: present when `kind` is `NonRepeatable`.
    pub key: Option<Arc<str>>,
    /// Whether the operation may be repeated.
    pub kind: OperationKind,
    /// Operation of the service.
    pub operation: Arc<str>,
    /// Request.
    pub request: RequestId,
    /// Service.
    pub service: ServiceId,
}
