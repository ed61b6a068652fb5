use super::*;

/// Priority of a request at an engine; a higher value runs first.
pub type Priority = u8;

/// A caller's request for text generation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateSubmission {
    /// Account that submits the request.
    pub account: AccountId,
    /// Time from arrival after which the answer is no longer useful.
    pub deadline: Duration,
    /// Tokens already delivered to the caller, when another instance takes over the stream.
    pub delivered_tokens: u32,
    /// Hash of account, model and prompt.
    pub fingerprint: Fingerprint,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Model to run.
    pub model: ModelId,
    /// Hashes of increasingly long prefixes of the prompt, shortest first, used for prefix-cache
    /// affinity.
    pub prefix_hashes: Vec<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Id of the request.
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

/// A caller's call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallSubmission {
    /// Account that submits the call.
    pub account: AccountId,
    /// Hash of the body, used to detect that a key is reused with a different body.
    pub body_hash: Arc<str>,
    /// Time from arrival after which the answer is no longer useful.
    pub deadline: Duration,
    /// Hash of account, operation and body.
    pub fingerprint: Fingerprint,
    /// Caller's idempotency key. Invariant: present when `kind` is `NonRepeatable`.
    pub key: Option<Arc<str>>,
    /// Whether the operation may be repeated.
    pub kind: OperationKind,
    /// Name of the operation.
    pub operation: Arc<str>,
    /// Id of the request.
    pub request: RequestId,
    /// Service to call.
    pub service: ServiceId,
}
