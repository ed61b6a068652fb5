use super::*;

/// Socket that holds back what hyper writes before the first request of a connection was handed to
/// the handler. That can only be hyper's answer to a head that it cannot read, which has no body.
#[derive(Debug)]
pub(crate) struct Opening {
    has_input: bool,
    is_served: Arc<AtomicBool>,
    stream: TcpStream,
}

/// Longest wait for the other side to close after an early answer. Closing earlier, with bytes
/// unread, resets the connection, and the other side may lose the answer.
const LINGER: Duration = Duration::from_millis(500);

/// Most bytes that are read and dropped during that wait.
const LINGER_BYTES: u64 = 256 * 1024;

impl Opening {
    /// Wraps a new connection. `is_served` turns true when a request is handed over.
    pub(crate) fn new(stream: TcpStream, is_served: Arc<AtomicBool>) -> Self {
        Self {
            has_input: false,
            is_served,
            stream,
        }
    }

    /// Answers a first head that hyper gave up on.
    pub(crate) async fn refuse(self, error: &hyper::Error, limits: Limits) {
        if self.is_served() || !self.has_input {
            return;
        }
        let Some(fault) = head_fault(error, limits) else {
            return;
        };
        refuse(self.stream, fault).await;
    }

    fn is_served(&self) -> bool {
        self.is_served.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Opening {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.has_input |= buffer.filled().len() > before;
        result
    }
}

impl AsyncWrite for Opening {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.is_served() {
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
        if !self.is_served() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.is_served() {
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Writes a fault to a connection without a readable request, and closes it.
async fn refuse(mut stream: TcpStream, fault: Fault) {
    let exchange = async {
        if stream.write_all(&fault.into_head_and_body()).await.is_err()
            || stream.shutdown().await.is_err()
        {
            return;
        }
        let mut rest = stream.take(LINGER_BYTES);
        let _ = tokio::io::copy(&mut rest, &mut tokio::io::sink()).await;
    };
    let _ = timeout(LINGER, exchange).await;
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
