use super::*;

/// Part of a journal that its owner sends to the backup peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JournalAppend {
    /// The stream ended without a finish reason, for example because its caller disconnected.
    End {
        /// Who served the stream.
        owner: Holder,
        /// Request.
        request: RequestId,
    },
    /// The whole journal; the first message of a stream, and the first to a new backup.
    Whole {
        /// Number of hand-overs before this holder.
        epoch: u32,
        /// Journal.
        journal: Journal,
        /// Who serves the stream.
        owner: Holder,
    },
    /// Tokens that follow those sent earlier.
    Tokens {
        /// Newest attempt that was started.
        attempt: Attempt,
        /// Why the answer is complete, if it is.
        finish: Option<FinishReason>,
        /// Index of the first of `tokens`.
        from: TokenIndex,
        /// Who serves the stream.
        owner: Holder,
        /// Request.
        request: RequestId,
        /// Tokens.
        tokens: Vec<Arc<str>>,
    },
}

impl JournalAppend {
    /// Request that the message is about.
    #[must_use]
    pub fn request(&self) -> &RequestId {
        match self {
            Self::End { request, .. } | Self::Tokens { request, .. } => request,
            Self::Whole { journal, .. } => &journal.request,
        }
    }
}

/// Answer to an append.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendAnswer {
    /// The tokens are kept.
    Appended {
        /// Index after the last token kept.
        next: TokenIndex,
    },
    /// Memory for journals is used up; the sender needs another backup.
    Full,
    /// Tokens before `from` are missing, or the journal is; send it whole.
    Incomplete {
        /// Index after the last token kept; 0 if there is no journal.
        next: TokenIndex,
    },
    /// Another instance took the stream over; the sender must not deliver any more of it.
    Taken {
        /// Instance that took it.
        by: InstanceId,
    },
}

/// One run of a stream at one instance. The nonce tells apart two runs at the same instance, and
/// lets an attempt to take a journal be repeated when its reply is lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Instance that serves the stream, or will.
    pub instance: InstanceId,
    /// Random value of this run.
    pub nonce: Nonce,
}

/// Request for a journal, to go on with its stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TakeRequest {
    /// Account of the caller.
    pub account: AccountId,
    /// Whether a stream that a caller is reading stays where it is.
    pub only_idle: bool,
    /// Instance that serves the stream as far as the taker knows. A request that is delivered late,
    /// by an instance that was paused, names an earlier one, and must not stop the stream.
    pub owner: InstanceId,
    /// Request.
    pub request: RequestId,
    /// Who takes it.
    pub taker: Holder,
}

/// Answer to a request for a journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TakeAnswer {
    /// Every other taker is turned away from now on.
    Given {
        /// Number of hand-overs, this one included.
        epoch: u32,
        /// The journal.
        journal: Box<Journal>,
    },
    /// Another taker has the journal.
    Taken {
        /// Instance that took it.
        by: InstanceId,
    },
    /// No journal of this request is held for this account. A journal of another account gives the
    /// same answer, so that request ids of other accounts cannot be probed.
    Unknown,
}
