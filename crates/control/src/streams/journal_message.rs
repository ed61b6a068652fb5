use super::*;

/// Update of a journal, which its owner sends to the peer that keeps a copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JournalAppend {
    /// The stream ended without a finish reason, for example because its caller disconnected.
    End {
        /// Holder that served the stream.
        owner: Holder,
        /// Request whose stream it is.
        request: RequestId,
    },
    /// The whole journal. It is the first message of a stream, the first to a new backup, and the
    /// response to `AppendAnswer::Incomplete`.
    Whole {
        /// Number of takeovers up to this holder; 0 for the first one.
        epoch: u32,
        /// Prompt and all tokens so far.
        journal: Journal,
        /// Holder that serves the stream.
        owner: Holder,
    },
    /// Tokens that follow those of earlier messages.
    Tokens {
        /// Number of the newest attempt that was started.
        attempt: Attempt,
        /// Why the answer is complete; none while it is not.
        finish: Option<FinishReason>,
        /// Index in the answer of the first of `tokens`.
        from: TokenIndex,
        /// Holder that serves the stream.
        owner: Holder,
        /// Request whose stream it is.
        request: RequestId,
        /// Texts of consecutive tokens.
        tokens: Vec<Arc<str>>,
    },
}

impl JournalAppend {
    /// Request whose stream the message belongs to.
    #[must_use]
    pub fn request(&self) -> &RequestId {
        match self {
            Self::End { request, .. } | Self::Tokens { request, .. } => request,
            Self::Whole { journal, .. } => &journal.request,
        }
    }
}

/// Reply of the peer to a `JournalAppend`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendAnswer {
    /// The tokens are stored.
    Appended {
        /// Index after the last token stored.
        next: TokenIndex,
    },
    /// The peer has no memory left for journals; the sender needs another backup.
    Full,
    /// The journal, or tokens before `from`, are missing; the sender must send it whole.
    Incomplete {
        /// Index after the last token stored; 0 if there is no journal.
        next: TokenIndex,
    },
    /// Another holder took the stream over; the sender must not deliver any more of it.
    Taken {
        /// Instance that holds the stream.
        by: InstanceId,
    },
}

/// One run of a stream at one instance. The nonce distinguishes runs at the same instance, and
/// makes taking a journal idempotent, so that it can be repeated if the reply is lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Instance that serves the stream, or wants to.
    pub instance: InstanceId,
    /// Random value that identifies this run.
    pub nonce: Nonce,
}

/// Request to take a journal over and resume its stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TakeRequest {
    /// Account of the caller; must be that of the journal.
    pub account: AccountId,
    /// Whether the stream must not be taken over while a caller is reading it.
    pub only_idle: bool,
    /// Instance that serves the stream, as far as the taker knows. A late request of an instance
    /// that was paused names an earlier owner, and must not stop the stream.
    pub owner: InstanceId,
    /// Request whose stream it is.
    pub request: RequestId,
    /// Holder that resumes the stream.
    pub taker: Holder,
}

/// Reply to a `TakeRequest`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TakeAnswer {
    /// The journal is handed over; every other taker is rejected from now on.
    Given {
        /// Number of takeovers, including this one.
        epoch: u32,
        /// Prompt and the tokens that have arrived here.
        journal: Box<Journal>,
    },
    /// Another holder has the stream.
    Taken {
        /// Instance that holds the stream.
        by: InstanceId,
    },
    /// There is no journal of this request for this account. A journal of another account gives the
    /// same answer, so that callers cannot find out request ids of other accounts.
    Unknown,
}
