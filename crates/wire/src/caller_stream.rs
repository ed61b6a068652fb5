use super::*;

/// Socket of a caller. Dates the received requests, and hides the end of the receiving direction while a request goes
/// on without it.
///
/// Discards what hyper writes before the first request of a connection reaches the handler. That can only be hyper's
/// own answer to a head that it cannot parse, which has no body; the server sends an error answer with a JSON body in
/// its place.
#[derive(Debug)]
pub(crate) struct CallerStream {
    /// State since the client has closed its sending direction; none before.
    closed: Option<ClosedDirection>,
    /// Time by which all bytes that had arrived were read.
    empty_at: Duration,
    has_received_bytes: bool,
    /// Whether bytes of an answer are waiting until the client reads.
    is_write_blocked: bool,
    monitor: Arc<RunMonitor>,
    progress: Arc<RequestProgress>,
    requests: RequestCounter,
    stream: TcpStream,
}

/// Maximum wait for the client to close after an error answer to an unreadable head. Closing
/// while received bytes are unread resets the connection, and the client may lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of bytes that are read and discarded during that wait.
const MAX_LINGER_BYTES: u64 = 256 * 1024;

impl CallerStream {
    /// Wraps a new connection, on which nothing had arrived by `empty_at`. The server records in `progress` when it
    /// passes a request to the handler, and in `monitor` when it runs.
    pub(crate) fn new(
        stream: TcpStream,
        empty_at: Duration,
        progress: Arc<RequestProgress>,
        monitor: Arc<RunMonitor>,
    ) -> Self {
        Self {
            closed: None,
            empty_at,
            has_received_bytes: false,
            is_write_blocked: false,
            monitor,
            requests: RequestCounter::new(progress.clone()),
            progress,
            stream,
        }
    }

    /// Sends the error answer to a first head that hyper could not parse or that was not complete
    /// in time. Does nothing when the client has sent nothing.
    pub(crate) async fn reply_to_bad_head(self, error: &hyper::Error, limits: Limits) {
        if self.has_request() || !self.has_received_bytes {
            return;
        }
        let Some(fault) = head_fault(error, limits) else {
            return;
        };
        send_fault(self.stream, fault).await;
    }

    /// Reports the end of the connection, unless the request that is being answered goes on without it.
    fn poll_closed(&mut self, context: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        let Some(closed) = &mut self.closed else {
            return Poll::Pending;
        };
        let policy = match self.progress.close_policy() {
            // An interim answer must not be written into the answer before.
            Some((policy, allows_interim)) => (policy, allows_interim && !self.is_write_blocked),
            // The client may still read the answer that is being written.
            None if self.is_write_blocked => (ClosePolicy::EndAfterGrace, false),
            None => return Poll::Ready(Ok(())),
        };
        closed.poll_end(context, policy, &mut self.stream).map(Ok)
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>, length: usize) {
        self.is_write_blocked = match result {
            Poll::Pending => true,
            Poll::Ready(Ok(count)) => *count < length,
            Poll::Ready(Err(_)) => false,
        };
        if let (Some(closed), Poll::Ready(Ok(1..))) = (&mut self.closed, result) {
            closed.record_written();
        }
    }

    /// Whether a request of this connection has reached the handler.
    fn has_request(&self) -> bool {
        self.progress.has_begun_any()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if self.closed.is_some() {
            return self.poll_closed(context);
        }
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = &buffer.filled()[before..];
        if result.is_pending() {
            self.empty_at = self.monitor.ticked_at();
        } else if !received.is_empty() {
            self.has_received_bytes = true;
            let now = clock::now();
            let arrived_at = self.monitor.earliest_arrival(now, self.empty_at);
            self.requests.record(received, arrived_at);
        } else if matches!(result, Poll::Ready(Ok(()))) && buffer.remaining() > 0 {
            self.closed = Some(ClosedDirection::new());
            return self.poll_closed(context);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.has_request() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result, bytes.len());
        result
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
        if !self.has_request() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.has_request() {
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result, slices.iter().map(|slice| slice.len()).sum());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Writes an error answer and closes the connection, after the client has closed its side or the
/// linger limits are reached.
async fn send_fault(mut stream: TcpStream, fault: Fault) {
    let exchange = async {
        if stream.write_all(&fault.into_raw_response()).await.is_err()
            || stream.shutdown().await.is_err()
        {
            return;
        }
        let mut unread = stream.take(MAX_LINGER_BYTES);
        let _ = tokio::io::copy(&mut unread, &mut tokio::io::sink()).await;
    };
    let _ = timeout(LINGER_TIMEOUT, exchange).await;
}

/// Returns the error answer to a head on which hyper failed; none when the cause is not the head.
fn head_fault(error: &hyper::Error, limits: Limits) -> Option<Fault> {
    if error.is_parse_too_large() {
        let message = format!(
            "the head is longer than {} bytes, or has too many headers; send a shorter one",
            limits.head_bytes
        );
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Some(Fault::new(status, "head_too_long", message));
    }
    if error.is_parse() {
        let message = format!("the request is not valid HTTP/1.1: {error}; correct its head");
        return Some(Fault::new(
            StatusCode::BAD_REQUEST,
            "malformed_head",
            message,
        ));
    }
    if error.is_timeout() {
        let message = format!(
            "the head was not complete after {} ms; send it faster",
            limits.idle_ms
        );
        return Some(Fault::new(
            StatusCode::REQUEST_TIMEOUT,
            "head_too_slow",
            message,
        ));
    }
    None
}
