use super::*;

/// Longest head of a reply that is examined, in bytes. Longer ones are left to hyper, which rejects them.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Highest number of headers of a reply that is examined; the limit of hyper.
const MAX_HEADERS: usize = 100;
/// Most bytes of replies to other requests that are discarded before the reply to a request.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// Longest part of a header value that is kept for logs, in bytes.
const MAX_LOGGED_BYTES: usize = 64;
/// Smallest free space of the buffer before a read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;

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

/// State that a connection shares with the filter of its replies.
#[derive(Debug)]
pub(crate) struct ReplyState {
    awaited: Option<AwaitedReply>,
    /// Hashes of the values of the echoed header in all requests of the connection.
    carried: Vec<u64>,
    discarded: DiscardedReplies,
    echo: HeaderName,
}

/// Handle of the state that a connection shares with the filter of its replies.
#[derive(Clone, Debug)]
pub(crate) struct SharedReplyState(Arc<Mutex<ReplyState>>);

impl SharedReplyState {
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

    /// Lets the reply to `request` pass. Returns false if the reply to an earlier request is incomplete.
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
    fn is_own(&self, awaited: &AwaitedReply, headers: &[httparse::Header]) -> bool {
        let mut echoes = self.echoes(headers);
        match &awaited.echo {
            None => echoes.next().is_none(),
            Some(echo) => {
                let echo = echo.as_bytes().trim_ascii();
                echoes.next() == Some(echo) && echoes.all(|other| other == echo)
            }
        }
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

/// Socket wrapper that lets only the replies to the requests of a connection pass. A faulty server may send a
/// further copy of an earlier reply; without the filter, hyper takes it for the reply to the next request.
#[derive(Debug)]
pub(crate) struct ReplyFilter {
    discarded_bytes: usize,
    /// Bytes that were received and not yet passed on or discarded.
    input: BytesMut,
    position: Position,
    shared: SharedReplyState,
    stream: TcpStream,
}

/// Position of the filter in the received bytes.
#[derive(Debug)]
enum Position {
    /// Within a reply to another request, behind its head.
    Discarding(ReplyFraming),
    /// Before or within a head.
    Head,
    /// Within the awaited reply, of whose head this number of bytes has not been passed on yet.
    Passing(usize, ReplyFraming),
    /// Behind bytes that are no valid reply. Everything is passed on, and hyper reports the error.
    Unexamined,
}

impl ReplyFilter {
    pub(crate) fn new(stream: TcpStream, shared: SharedReplyState) -> Self {
        Self {
            discarded_bytes: 0,
            input: BytesMut::new(),
            position: Position::Head,
            shared,
            stream,
        }
    }

    /// Passes received bytes on until more must be received, the awaited reply is complete or `buffer` is full.
    fn pass_on(&mut self, buffer: &mut ReadBuf) -> io::Result<()> {
        while !self.input.is_empty() && buffer.remaining() > 0 {
            match &mut self.position {
                Position::Head => {
                    if !self.examine_head()? {
                        return Ok(());
                    }
                }
                Position::Discarding(framing) => {
                    let count = framing.consume(&self.input).map_err(|_| lost_position())?;
                    let is_complete = framing.is_complete();
                    self.discard(count)?;
                    if is_complete {
                        self.position = Position::Head;
                    }
                }
                Position::Passing(..) => {
                    if self.pass_reply(buffer) {
                        return Ok(());
                    }
                }
                Position::Unexamined => {
                    let count = self.input.len().min(buffer.remaining());
                    buffer.put_slice(&self.input.split_to(count));
                }
            }
        }
        Ok(())
    }

    /// Passes on bytes of the awaited reply. Returns whether it is complete.
    fn pass_reply(&mut self, buffer: &mut ReadBuf) -> bool {
        let Position::Passing(head_bytes, framing) = &mut self.position else {
            return false;
        };
        let mut count = self.input.len().min(buffer.remaining());
        if *head_bytes > 0 {
            count = count.min(*head_bytes);
            *head_bytes -= count;
        } else {
            match framing.consume(&self.input[..count]) {
                Ok(part) => count = part,
                Err(FramingError) => {
                    self.position = Position::Unexamined;
                    return false;
                }
            }
        }
        let is_complete = *head_bytes == 0 && framing.is_complete();
        buffer.put_slice(&self.input.split_to(count));
        if is_complete {
            self.position = Position::Head;
            self.discarded_bytes = 0;
            self.shared.lock().awaited = None;
        }
        is_complete
    }

    /// Decides what happens with the next reply. Returns false if its head is incomplete.
    fn examine_head(&mut self) -> io::Result<bool> {
        let mut state = self.shared.lock();
        let Some(awaited) = state.awaited.clone() else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the server sent a reply without a request",
            ));
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let (position, passed_bytes) = match head.parse(&self.input) {
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_HEAD_BYTES => {
                return Ok(false);
            }
            Ok(httparse::Status::Partial) | Err(_) => (Position::Unexamined, 0),
            Ok(httparse::Status::Complete(head_bytes)) => {
                let status = head.code.unwrap_or_default();
                let framing = ReplyFraming::of(status, awaited.is_reply_to_head, head.headers);
                let is_interim = (100..200).contains(&status) && status != 101;
                let is_own = !is_interim && state.is_own(&awaited, head.headers);
                if !is_interim && !is_own {
                    state.record_discarded(status, head.headers);
                }
                match framing {
                    _ if is_interim => (Position::Head, head_bytes),
                    Err(FramingError) if is_own => (Position::Unexamined, 0),
                    Err(FramingError) => return Err(lost_position()),
                    Ok(framing) if is_own => (Position::Passing(head_bytes, framing), 0),
                    Ok(framing) if framing.is_complete() => (Position::Head, head_bytes),
                    Ok(framing) => (Position::Discarding(framing), head_bytes),
                }
            }
        };
        drop(state);
        self.position = position;
        self.discard(passed_bytes)?;
        Ok(true)
    }

    fn discard(&mut self, count: usize) -> io::Result<()> {
        self.input.advance(count);
        self.discarded_bytes += count;
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            return Err(lost_position());
        }
        Ok(())
    }
}

/// Hash of the value of an echoed header. Two values with the same hash only cost a new connection.
fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value.trim_ascii());
    hasher.finish()
}

/// Error when the end of a reply to another request is not found.
fn lost_position() -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        "the server sent a reply to another request without a valid end",
    )
}

impl AsyncRead for ReplyFilter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buffer.filled().len();
        loop {
            this.pass_on(buffer)?;
            if buffer.filled().len() > before || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            this.input.reserve(MIN_READ_BYTES);
            let stream = Pin::new(&mut this.stream);
            let count = task::ready!(poll_read_buf(stream, context, &mut this.input))?;
            if count == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for ReplyFilter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
