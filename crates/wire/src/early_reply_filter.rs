use super::*;

/// Socket that holds back what hyper writes before the first request of a connection was handed to
/// the handler. That can only be hyper's answer to a head that it cannot read, which has no body.
#[derive(Debug)]
pub(crate) struct EarlyReplyFilter {
    has_received_bytes: bool,
    has_request: Arc<AtomicBool>,
    stream: TcpStream,
}

/// Longest wait for the other side to close after an early answer. Closing earlier, with bytes
/// unread, resets the connection, and the other side may lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most bytes that are read and dropped during that wait.
const MAX_LINGER_BYTES: u64 = 256 * 1024;

impl EarlyReplyFilter {
    /// Wraps a new connection. `is_served` turns true when a request is handed over.
    pub(crate) fn new(stream: TcpStream, has_request: Arc<AtomicBool>) -> Self {
        Self {
            has_received_bytes: false,
            has_request,
            stream,
        }
    }

    /// Answers a first head that hyper gave up on.
    pub(crate) async fn reply_to_bad_head(self, error: &hyper::Error, limits: Limits) {
        if self.has_request() || !self.has_received_bytes {
            return;
        }
        let Some(fault) = head_fault(error, limits) else {
            return;
        };
        send_fault(self.stream, fault).await;
    }

    fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Relaxed)
    }
}

impl AsyncRead for EarlyReplyFilter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.has_received_bytes |= buffer.filled().len() > before;
        result
    }
}

impl AsyncWrite for EarlyReplyFilter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.has_request() {
            return Poll::Ready(Ok(bytes.len()));
        }
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Writes a fault to a connection without a readable request, and closes it.
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
