use super::*;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Request that is being answered.
#[derive(Clone, Debug)]
pub(crate) struct CurrentRequest {
    /// Whether an interim answer may be sent: the caller knows them, and its answer has not begun.
    pub(crate) allows_interim: bool,
    pub(crate) on_close: CloseHandling,
}

/// Requests of one connection: those that were received completely, and those that the handler has begun to
/// answer.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    /// When the first bytes of the requests arrived that the handler has not begun to answer.
    arrivals: Mutex<VecDeque<Duration>>,
    begun: AtomicU64,
    /// The request that is being answered; none if there is none.
    current: Mutex<Option<CurrentRequest>>,
    /// Wakes the server when the handler begins to answer a request, and when an answer has ended.
    changed: Notify,
    received: AtomicU64,
}

impl RequestProgress {
    /// Records that the handler begins to answer a request. Returns when its first byte arrived; none behind bytes
    /// that are not a valid request.
    pub(crate) fn record_begun(&self, request: CurrentRequest) -> Option<Duration> {
        *self.current() = Some(request);
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_one();
        self.arrivals().pop_front()
    }

    /// Records that the answer to the current request begins.
    pub(crate) fn record_answering(&self) {
        if let Some(current) = &mut *self.current() {
            current.allows_interim = false;
        }
    }

    /// Records that the answer to the current request has ended.
    pub(crate) fn record_answered(&self) {
        *self.current() = None;
        self.changed.notify_one();
    }

    /// What happens to the current request when the caller closes its sending direction, and whether an interim
    /// answer may be sent; none if no request is being answered.
    pub(crate) fn close_policy(&self) -> Option<(ClosePolicy, bool)> {
        let current = self.current();
        let current = current.as_ref()?;
        let received = self.received.load(Ordering::Relaxed);
        if received < self.begun.load(Ordering::Relaxed) {
            // The rest of the request cannot arrive any more.
            return Some((ClosePolicy::EndAtOnce, false));
        }
        Some((current.on_close.policy(), current.allows_interim))
    }

    fn current(&self) -> MutexGuard<'_, Option<CurrentRequest>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn arrivals(&self) -> MutexGuard<'_, VecDeque<Duration>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the handler has begun to answer any request.
    pub(crate) fn has_begun_any(&self) -> bool {
        self.begun.load(Ordering::Relaxed) > 0
    }

    /// Waits until the handler has begun to answer a request, or an answer has ended, since the last call.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether a request is being answered, or was received completely and is to be answered next.
    pub(crate) fn is_busy(&self) -> bool {
        self.current().is_some() || self.has_unanswered()
    }

    /// Whether a request was received completely that the handler has not begun to answer.
    pub(crate) fn has_unanswered(&self) -> bool {
        self.received.load(Ordering::Relaxed) > self.begun.load(Ordering::Relaxed)
    }
}

/// Finds the ends of the requests in the bytes that a connection receives.
#[derive(Debug)]
pub(crate) struct RequestCounter {
    position: Position,
    progress: Arc<RequestProgress>,
}

/// Position in the bytes of a connection.
#[derive(Debug)]
enum Position {
    /// Within a body.
    Body(ReplyFraming),
    /// Within a head, of which this part has been received.
    Head(Vec<u8>),
    /// Behind bytes that are not a valid request. No more requests are counted.
    Invalid,
}

impl RequestCounter {
    pub(crate) fn new(progress: Arc<RequestProgress>) -> Self {
        Self {
            position: Position::Head(Vec::new()),
            progress,
        }
    }

    /// Counts the requests that end in the received bytes, and dates those that begin in them.
    pub(crate) fn record(&mut self, mut bytes: &[u8], arrived_at: Duration) {
        while !bytes.is_empty() {
            let count = match &mut self.position {
                Position::Invalid => return,
                Position::Body(framing) => framing.consume(bytes),
                Position::Head(received) => {
                    let before = received.len();
                    if before == 0 {
                        bytes = without_empty_lines(bytes);
                        if bytes.is_empty() {
                            return;
                        }
                        self.progress.arrivals().push_back(arrived_at);
                    }
                    received.extend_from_slice(bytes);
                    match parse_head(received) {
                        Err(error) => Err(error),
                        Ok(None) => return,
                        Ok(Some((length, framing))) => {
                            self.position = Position::Body(framing);
                            Ok(length - before)
                        }
                    }
                }
            };
            let Ok(count) = count else {
                self.position = Position::Invalid;
                return;
            };
            bytes = &bytes[count..];
            if matches!(&self.position, Position::Body(framing) if framing.is_complete()) {
                self.progress.received.fetch_add(1, Ordering::Relaxed);
                self.position = Position::Head(Vec::new());
            }
        }
    }
}

/// Bytes behind the empty lines before a head, which do not belong to it.
fn without_empty_lines(bytes: &[u8]) -> &[u8] {
    let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
    &bytes[bytes.iter().take_while(is_line_end).count()..]
}

/// Returns the length of a head and the framing of the body behind it; none if the head is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, ReplyFraming)>, FramingError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Err(_) => Err(FramingError),
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(length)) => {
            let framing = match ReplyFraming::of(200, false, head.headers)? {
                // A request without a length has no body.
                ReplyFraming::UntilClose => ReplyFraming::Length(0),
                framing => framing,
            };
            Ok(Some((length, framing)))
        }
    }
}
