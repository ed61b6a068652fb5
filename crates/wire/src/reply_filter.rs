use super::*;

/// Longest head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Highest number of headers of a reply that is examined; the limit of hyper.
const MAX_HEADERS: usize = 100;
/// Most bytes of replies to other requests that are discarded before the reply to a request.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// Most bytes of interim replies before the reply to a request.
const MAX_INTERIM_BYTES: usize = 64 * 1024;
/// Smallest free space of the buffer before a read, in bytes.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Socket wrapper that lets only the replies to the requests of a connection pass. A faulty server may send a
/// further copy of an earlier reply; without the filter, hyper takes it for the reply to the next request.
pub(crate) struct ReplyFilter {
    discarded_bytes: usize,
    /// Bytes that were received and not yet passed on or discarded.
    input: BytesMut,
    /// Bytes of interim replies since the last reply.
    interim_bytes: usize,
    position: Position,
    replies: ReplyStateHandle,
    stream: BoxedStream,
}

/// Position of the filter in the received bytes.
#[derive(Debug)]
enum Position {
    /// Within a reply to another request, behind its head.
    Discarding(ReplyFraming),
    /// Before or within a head.
    Head,
    /// Within the awaited reply.
    Passing {
        framing: ReplyFraming,
        /// Bytes of the head that have not been passed on yet.
        head_bytes: usize,
    },
    /// Behind bytes that are no valid reply. Everything is passed on, and hyper reports the error.
    Unexamined,
}

impl ReplyFilter {
    pub(crate) fn new(stream: BoxedStream, replies: ReplyStateHandle) -> Self {
        Self {
            discarded_bytes: 0,
            input: BytesMut::new(),
            interim_bytes: 0,
            position: Position::Head,
            replies,
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
                Position::Passing { .. } => {
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
        let Position::Passing {
            framing,
            head_bytes,
        } = &mut self.position
        else {
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
            self.interim_bytes = 0;
            self.replies.record_complete();
        }
        is_complete
    }

    /// Decides what happens with the next reply. Returns false if its head is incomplete.
    fn examine_head(&mut self) -> io::Result<bool> {
        if self.replies.is_idle() {
            return Err(invalid_data("the server sent a reply without a request"));
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_bytes = match head.parse(&self.input) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_HEAD_BYTES => {
                return Ok(false);
            }
            Ok(httparse::Status::Partial) => {
                return Err(invalid_data("the head of the reply is too long"));
            }
            Err(_) => {
                self.position = Position::Unexamined;
                return Ok(true);
            }
        };
        let status = head.code.unwrap_or_default();
        let (position, discarded_bytes) = match self.replies.classify(status, head.headers) {
            ReplyKind::Interim => {
                self.count_interim(head_bytes)?;
                (Position::Head, head_bytes)
            }
            ReplyKind::Own { is_reply_to_head } => {
                match ReplyFraming::of(status, is_reply_to_head, head.headers) {
                    Ok(framing) => (
                        Position::Passing {
                            framing,
                            head_bytes,
                        },
                        0,
                    ),
                    Err(FramingError) => (Position::Unexamined, 0),
                }
            }
            ReplyKind::Other { is_reply_to_head } => {
                let is_reply_to_head = is_reply_to_head.ok_or_else(lost_position)?;
                let framing = ReplyFraming::of(status, is_reply_to_head, head.headers);
                match framing.map_err(|_| lost_position())? {
                    framing if framing.is_complete() => (Position::Head, head_bytes),
                    framing => (Position::Discarding(framing), head_bytes),
                }
            }
        };
        self.position = position;
        self.discard(discarded_bytes)?;
        Ok(true)
    }

    fn count_interim(&mut self, head_bytes: usize) -> io::Result<()> {
        self.interim_bytes += head_bytes;
        if self.interim_bytes > MAX_INTERIM_BYTES {
            return Err(invalid_data("the server sent too many interim replies"));
        }
        Ok(())
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

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Error when the end of a reply to another request is not found.
fn lost_position() -> io::Error {
    invalid_data("the server sent a reply to another request without a valid end")
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
