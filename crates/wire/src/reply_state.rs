use super::*;

/// Longest part of a header value that is kept for logs, in bytes.
const MAX_LOGGED_BYTES: usize = 64;

/// Replies to other requests that a connection received and discarded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DiscardedReplies {
    /// Number of these replies.
    pub count: u32,
    /// Value of the echoed header in the last one; empty if it had none.
    pub last_echo: String,
    /// Status of the last one; 0 if there was none.
    pub last_status: u16,
}

/// Request whose reply has not been received completely.
#[derive(Clone, Debug)]
struct AwaitedReply {
    /// Value of the echoed header in the request; none if the request has no such header.
    echo: Option<HeaderValue>,
    is_reply_to_head: bool,
}

/// Whose reply a server sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyKind {
    /// It announces that the awaited reply follows later.
    Interim,
    /// It belongs to another request.
    Other,
    /// It belongs to the awaited request.
    Own,
}

/// Requests of a connection, as far as they decide which replies belong to them.
#[derive(Debug)]
struct ReplyState {
    awaited: Option<AwaitedReply>,
    /// Hashes of the values of the echoed header in all requests of the connection.
    carried: Vec<u64>,
    discarded: DiscardedReplies,
    echo: HeaderName,
}

/// Handle of the state that a connection shares with the filter of its replies.
#[derive(Clone, Debug)]
pub(crate) struct ReplyStateHandle(Arc<Mutex<ReplyState>>);

impl ReplyStateHandle {
    /// Creates the state of a new connection. Servers repeat the header `echo` of a request in its reply.
    pub(crate) fn new(echo: HeaderName) -> Self {
        Self(Arc::new(Mutex::new(ReplyState {
            awaited: None,
            carried: Vec::new(),
            discarded: DiscardedReplies::default(),
            echo,
        })))
    }

    /// Whether all replies have been received completely.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().awaited.is_none()
    }

    /// Whether the awaited reply is one to a `HEAD` request, which has no body.
    pub(crate) fn awaits_head(&self) -> bool {
        let state = self.lock();
        let awaited = state.awaited.as_ref();
        awaited.is_some_and(|awaited| awaited.is_reply_to_head)
    }

    /// Starts to wait for the reply to `request`. Returns false if the reply to an earlier one is incomplete.
    pub(crate) fn expect_reply<B>(&self, request: &hyper::Request<B>) -> bool {
        let mut state = self.lock();
        if state.awaited.is_some() {
            return false;
        }
        let echo = request.headers().get(&state.echo).cloned();
        let value = echo.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
        state.carried.push(hash(value));
        state.awaited = Some(AwaitedReply {
            echo,
            is_reply_to_head: request.method() == Method::HEAD,
        });
        true
    }

    /// Records that the awaited reply has been received completely.
    pub(crate) fn record_complete(&self) {
        self.lock().awaited = None;
    }

    /// Finds out whose reply has this head, and counts those to other requests.
    pub(crate) fn classify(&self, status: u16, headers: &[httparse::Header]) -> ReplyKind {
        let mut state = self.lock();
        let is_interim = (100..200).contains(&status) && status != 101;
        if is_interim {
            return ReplyKind::Interim;
        }
        if state.is_own(headers) {
            return ReplyKind::Own;
        }
        state.record_discarded(status, headers);
        ReplyKind::Other
    }

    /// Whether a request with this value of the echoed header was sent before; empty if it has no such header.
    pub(crate) fn has_carried(&self, echo: &[u8]) -> bool {
        self.lock().carried.contains(&hash(echo))
    }

    /// Returns the replies that were discarded since the last call.
    pub(crate) fn take_discarded(&self) -> DiscardedReplies {
        std::mem::take(&mut self.lock().discarded)
    }

    fn lock(&self) -> MutexGuard<'_, ReplyState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReplyState {
    /// Whether a reply with these headers belongs to the awaited request.
    fn is_own(&self, headers: &[httparse::Header]) -> bool {
        let Some(awaited) = &self.awaited else {
            return false;
        };
        let mut echoes = self.echoes(headers);
        let Some(echo) = &awaited.echo else {
            return echoes.next().is_none();
        };
        let echo = echo.as_bytes().trim_ascii();
        echoes.next() == Some(echo) && echoes.all(|other| other == echo)
    }

    fn record_discarded(&mut self, status: u16, headers: &[httparse::Header]) {
        let last = self.echoes(headers).next().unwrap_or_default();
        let last = &last[..last.len().min(MAX_LOGGED_BYTES)];
        self.discarded = DiscardedReplies {
            count: self.discarded.count.saturating_add(1),
            last_echo: String::from_utf8_lossy(last).into(),
            last_status: status,
        };
    }

    /// Values of the echoed header.
    fn echoes<'a>(&self, headers: &'a [httparse::Header]) -> impl Iterator<Item = &'a [u8]> {
        let name = self.echo.clone();
        let echoed = headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name.as_str()));
        echoed.map(|header| header.value.trim_ascii())
    }
}

/// Hash of the value of an echoed header. Two values with the same hash only cost a new connection.
fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value.trim_ascii());
    hasher.finish()
}
