use super::*;

/// Maximum length of a line in a streamed reply, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Statuses of final replies (RFC 9110, section 15). Requests ask for no other protocol, so 101 is none of them.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;
/// Time for the rest of the request before to be written, after its reply has arrived. A server may have answered
/// without reading it.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// A client connection. The socket closes once the connection and all replies read from it are
/// dropped, which tells the server to stop working on the request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    driver: Arc<Driver>,
    /// State of the reply filter; none if each reply is taken for that to the last request.
    replies: Option<ReplyStateHandle>,
    request_count: u32,
    sender: SendRequest<Full<Bytes>>,
}

/// Handle of the task that performs the I/O of a connection. Aborts the task when dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection and performs the HTTP/1.1 handshake.
    ///
    /// # Errors
    ///
    /// Returns `Error::Connect` when no connection is established within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let stream = connect(address, limit).await?;
        Self::handshake(address, stream, None).await
    }

    /// Performs the handshake over an open stream. Only the replies to requests of this connection count: the
    /// server repeats the header `echo` of a request in the reply. Other replies are discarded.
    ///
    /// # Errors
    ///
    /// Returns `Error::Connect` when the handshake fails.
    pub async fn with_echo(
        address: SocketAddr,
        stream: BoxedStream,
        echo: HeaderName,
    ) -> Result<Self, Error> {
        let replies = ReplyStateHandle::new(echo);
        let filter = ReplyFilter::new(stream, replies.clone());
        Self::handshake(address, filter, Some(replies)).await
    }

    async fn handshake(
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        replies: Option<ReplyStateHandle>,
    ) -> Result<Self, Error> {
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(address, &error))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            driver: Arc::new(Driver(task.abort_handle())),
            replies,
            request_count: 0,
            sender,
        })
    }

    /// Address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a request with this value of the echoed header was sent on the connection before. A copy of
    /// its reply could not be told from the reply to another request with this value.
    #[must_use]
    pub fn has_carried(&self, echo: &str) -> bool {
        let replies = self.replies.as_ref();
        replies.is_some_and(|replies| replies.has_carried(echo.as_bytes()))
    }

    /// Returns the replies to other requests that were discarded since the last call.
    #[must_use]
    pub fn take_discarded(&self) -> DiscardedReplies {
        let replies = self.replies.as_ref();
        replies
            .map(ReplyStateHandle::take_discarded)
            .unwrap_or_default()
    }

    /// Whether the connection is open as far as this side knows, and all replies were received
    /// completely; the server may have closed it.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let is_idle = self.replies.as_ref().is_none_or(ReplyStateHandle::is_idle);
        is_idle && !self.sender.is_closed()
    }

    /// Number of requests that were sent on this connection, including the current one.
    #[must_use]
    pub fn request_count(&self) -> u32 {
        self.request_count
    }

    /// Sends a request and waits for the head of the reply, at most `Call::reply_timeout`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Request` when the request is invalid and nothing was sent, and the errors of
    /// `send_request`.
    pub async fn send(&mut self, call: &Call) -> Result<ReplyStream, Error> {
        let request = call.request(self.address)?;
        self.send_request(request, call.reply_timeout).await
    }

    /// Sends a request and reads the complete reply, after which the connection can be reused.
    ///
    /// # Errors
    ///
    /// Returns the errors of `send` and `ReplyStream::read`, and `Error::Timeout` when the
    /// complete reply takes longer than `Call::reply_timeout`.
    pub async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let address = self.address;
        let exchange = async {
            let mut reply = self.send(call).await?;
            let body = reply.read(call.reply_timeout, call.max_reply_bytes).await?;
            Ok(Reply {
                body,
                headers: reply.headers,
                status: reply.status,
            })
        };
        match timeout(call.reply_timeout, exchange).await {
            Err(_) => Err(Error::Timeout {
                address,
                limit: call.reply_timeout,
            }),
            Ok(result) => result,
        }
    }

    /// Sends a request that already has its `Host` header, and waits at most `limit` for the head
    /// of the reply.
    ///
    /// # Errors
    ///
    /// Returns `Error::Closed` when nothing was sent, `Error::Broken` or `Error::Malformed` when
    /// the exchange failed or the status is invalid, and `Error::Timeout` when no head arrived within `limit`.
    pub async fn send_request(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<ReplyStream, Error> {
        let address = self.address;
        self.request_count = self.request_count.saturating_add(1);
        let exchange = async {
            let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return Err(Error::Closed { address });
            }
            if let Some(replies) = &self.replies
                && !replies.expect_reply(&request)
            {
                return Err(Error::Closed { address });
            }
            let result = self.sender.send_request(request).await;
            result.map_err(|error| hyper_error(address, &error))
        };
        let response = match timeout(limit, exchange).await {
            Err(_) => return Err(Error::Timeout { address, limit }),
            Ok(result) => result?,
        };
        let (head, body) = response.into_parts();
        if !VALID_STATUSES.contains(&head.status.as_u16()) {
            return Err(Error::Malformed {
                address,
                message: format!("status {}", head.status.as_u16()),
            });
        }
        Ok(ReplyStream {
            address,
            body,
            _driver: self.driver.clone(),
            headers: head.headers,
            status: head.status,
        })
    }
}

/// A reply whose body is read in chunks.
#[derive(Debug)]
pub struct ReplyStream {
    address: SocketAddr,
    body: Incoming,
    /// Keeps the connection open while the body is read.
    _driver: Arc<Driver>,
    /// Headers of the reply.
    pub headers: HeaderMap,
    /// HTTP status.
    pub status: StatusCode,
}

impl ReplyStream {
    /// Reads the next chunk of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Returns `Error::Broken` when the connection was lost, `Error::Malformed` when the body
    /// is not valid HTTP, and `Error::Timeout` when no data arrived within `limit`.
    pub async fn chunk(&mut self, limit: Duration) -> Result<Option<Bytes>, Error> {
        let address = self.address;
        loop {
            let frame = match timeout(limit, self.body.frame()).await {
                Err(_) => return Err(Error::Timeout { address, limit }),
                Ok(None) => return Ok(None),
                Ok(Some(Err(error))) => return Err(hyper_error(address, &error)),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the complete body. `limit` applies to each chunk.
    ///
    /// # Errors
    ///
    /// Returns the errors of `chunk`, and `Error::BodyTooLong` when the body exceeds `limit_bytes`.
    pub async fn read(&mut self, limit: Duration, limit_bytes: usize) -> Result<Bytes, Error> {
        let mut bytes = BytesMut::new();
        while let Some(chunk) = self.chunk(limit).await? {
            if bytes.len() + chunk.len() > limit_bytes {
                return Err(Error::BodyTooLong { limit_bytes });
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    }

    /// Turns the reply into a reader of the lines of its body.
    #[must_use]
    pub fn lines(self) -> LineReader {
        LineReader {
            buffer: BytesMut::new(),
            reply: self,
        }
    }
}

/// Reads the body of a streamed reply line by line.
#[derive(Debug)]
pub struct LineReader {
    buffer: BytesMut,
    reply: ReplyStream,
}

impl LineReader {
    /// Reads the next line, without its line feed; none at the end of the body. A last line
    /// without a line feed is truncated and is not returned.
    ///
    /// # Errors
    ///
    /// Returns the errors of `ReplyStream::chunk`, and `Error::BodyTooLong` for a line of more
    /// than 1 MiB.
    pub async fn next_line(&mut self, limit: Duration) -> Result<Option<Bytes>, Error> {
        let mut searched = 0;
        loop {
            if let Some(offset) = self.buffer[searched..]
                .iter()
                .position(|byte| *byte == b'\n')
            {
                let mut line = self.buffer.split_to(searched + offset + 1);
                line.truncate(searched + offset);
                return Ok(Some(line.freeze()));
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_BYTES {
                return Err(Error::BodyTooLong {
                    limit_bytes: MAX_LINE_BYTES,
                });
            }
            let Some(chunk) = self.reply.chunk(limit).await? else {
                return Ok(None);
            };
            self.buffer.extend_from_slice(&chunk);
        }
    }
}

/// Converts an error of hyper. A canceled request was never written, because the connection had
/// been closed before.
fn hyper_error(address: SocketAddr, error: &hyper::Error) -> Error {
    let message = error.to_string();
    if error.is_canceled() {
        return Error::Closed { address };
    }
    if error.is_parse() {
        return Error::Malformed { address, message };
    }
    Error::Broken { address, message }
}
