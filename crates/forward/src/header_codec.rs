use super::*;

/// What the head of a request says to the router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Most tokens of the answer.
    pub answer_tokens: Option<f64>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Tokens of the answer that the caller expects.
    pub expected_tokens: Option<f64>,
    /// Id of the request.
    pub id: Arc<str>,
    /// Key of the client account.
    pub key: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<f64>,
}

/// What the head of an answer says to the router.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyMetadata {
    /// Target on the path that caused a refusal.
    pub fault_at: Option<SocketAddr>,
    /// Whether the answer is signed by the target that made it.
    pub has_signature: bool,
    /// Id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Whether the target promises that the request has not run and never will.
    pub is_not_run: bool,
    /// Load of the target.
    pub load: Option<Load>,
    /// Time for which the target wants no further request, where it turned this one away.
    pub retry_after: Option<Duration>,
}

/// What a target is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Client account.
    pub account: Option<&'a str>,
    /// Time left for the answer.
    pub deadline: Duration,
    /// Id of the last event that the caller has; none unless a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Path whose first stage receives the request.
    pub path: &'a Path,
    /// Rank of the request; 0 comes first.
    pub rank: u32,
}

/// Reads and writes the wire names of heads.
pub trait HeaderCodec: Send + Sync {
    /// Reads the head of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Reads the head of an answer.
    fn parse_reply(&self, status: StatusCode, headers: &HeaderMap) -> ReplyMetadata;

    /// Replaces the headers that the router sets itself.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch);
}
