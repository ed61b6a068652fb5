use super::*;

/// Longest line in a streamed reply, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One client connection. Dropping it, and the replies read from it, closes the socket, which
/// tells the server to stop working for it.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    driver: Arc<Driver>,
    sender: SendRequest<Full<Bytes>>,
}

/// Task that moves bytes of one connection; ends with its last user.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns `Error::Connect` when none is made within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connect_error = |message: String| Error::Connect { address, message };
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Err(_) => return Err(connect_error(format!("no answer for {limit:?}"))),
            Ok(result) => result.map_err(|error| connect_error(error.to_string()))?,
        };
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(error.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            driver: Arc::new(Driver(task.abort_handle())),
            sender,
        })
    }

    /// Whether the other side has not closed the connection, as far as is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the reply.
    ///
    /// # Errors
    ///
    /// Returns `Error::Request` when nothing was sent, `Error::Broken` when the connection broke,
    /// and `Error::Silent` when no head came within the call's limit.
    pub async fn send(&mut self, call: &Call) -> Result<ReplyStream, Error> {
        let request = call.request(self.address)?;
        self.send_request(request, call.reply_timeout).await
    }

    /// Sends a request and reads the whole reply, after which the connection may be used again.
    ///
    /// # Errors
    ///
    /// Returns the errors of `send` and `ReplyStream::read`, and `Error::Silent` when the whole
    /// reply takes longer than the call's limit.
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

    /// Sends a request that is complete with its `Host`, and waits at most `limit` for the head of
    /// the reply.
    ///
    /// # Errors
    ///
    /// Returns `Error::Closed` when nothing was sent, `Error::Broken` or `Error::Malformed` when
    /// the exchange failed, and `Error::Silent` when no head came within `limit`.
    pub async fn send_request(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<ReplyStream, Error> {
        let address = self.address;
        let exchange = async {
            if self.sender.ready().await.is_err() {
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
        Ok(ReplyStream {
            address,
            body,
            _driver: self.driver.clone(),
            headers: head.headers,
            status: head.status,
        })
    }
}

/// Reply whose body is read piece by piece.
#[derive(Debug)]
pub struct ReplyStream {
    address: SocketAddr,
    body: Incoming,
    /// Keeps the connection open while the body is read.
    _driver: Arc<Driver>,
    /// Headers.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
}

impl ReplyStream {
    /// Reads the next piece; none is the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `Error::Broken` when the connection broke and `Error::Silent` when nothing came
    /// within `limit`.
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

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns the errors of `chunk`, and `Error::BodyTooLong` past `limit_bytes`.
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

    /// Reads the body line by line.
    #[must_use]
    pub fn lines(self) -> LineReader {
        LineReader {
            buffer: BytesMut::new(),
            reply: self,
        }
    }
}

/// Reads a streamed reply line by line.
#[derive(Debug)]
pub struct LineReader {
    buffer: BytesMut,
    reply: ReplyStream,
}

impl LineReader {
    /// Reads the next line, without its end; none is the end of the body. A last line without an
    /// end was cut off and is not returned.
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
