use super::*;

/// Handles requests that arrived completely and within the limits.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(self: Arc<Self>, request: Request) -> BoxFuture<'static, Response>;

    /// What happens to a request whose caller closes its sending direction, until the handler changes it.
    fn close_policy(&self) -> ClosePolicy {
        ClosePolicy::EndAtOnce
    }

    /// Returns the limits of a new connection, for handlers whose limits change while the server
    /// runs. `limits` are those that the server was started with.
    fn limits(&self, limits: Limits) -> Limits {
        limits
    }
}

/// Time after the shutdown signal during which connections already in the listen backlog are
/// accepted and their first requests are read.
const BACKLOG_GRACE: Duration = Duration::from_millis(100);

/// Accepts connections until `shutdown` turns true, then finishes the open ones and those that are
/// already in the listen backlog.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    mut shutdown: watch::Receiver<bool>,
) {
    let monitor = Arc::new(RunMonitor::new(clock::now()));
    let mut monitoring = JoinSet::new();
    monitoring.spawn(record_runs(monitor.clone()));
    let mut backlog = Backlog {
        connections: Arc::new(Semaphore::new(limits.connection_count)),
        empty_at: clock::now(),
        listener,
        monitor: monitor.clone(),
    };
    let mut server = Server {
        client_limiter: ClientLimiter::new(limits.client_connection_count),
        handler,
        limits,
        monitor,
        shutdown: shutdown.clone(),
        tasks: JoinSet::new(),
    };
    while !*shutdown.borrow() {
        let accepted = tokio::select! {
            accepted = backlog.accept() => accepted,
            changed = shutdown.changed() => match changed {
                Err(_) => break,
                Ok(()) => continue,
            },
        };
        server.spawn_connection(accepted);
    }
    let backlog_deadline = Instant::now() + BACKLOG_GRACE;
    while let Ok(accepted) = timeout_at(backlog_deadline, backlog.accept()).await {
        server.spawn_connection(accepted);
    }
    drop(backlog);
    while server.tasks.join_next().await.is_some() {}
}

/// Records that the server runs until the task is aborted.
async fn record_runs(monitor: Arc<RunMonitor>) {
    loop {
        tokio::time::sleep(RunMonitor::TICK_INTERVAL).await;
        if let Some(gap) = monitor.tick(clock::now()) {
            let gap_ms = gap.as_millis() as u64;
            tracing::debug!(gap_ms, "the server did not run for some time");
        }
    }
}

/// State of a running server.
struct Server {
    client_limiter: Arc<ClientLimiter>,
    handler: Arc<dyn Handler>,
    limits: Limits,
    monitor: Arc<RunMonitor>,
    shutdown: watch::Receiver<bool>,
    tasks: JoinSet<()>,
}

/// A connection that was accepted.
struct AcceptedConnection {
    /// Time by which nothing had arrived on it.
    empty_at: Duration,
    peer: SocketAddr,
    /// Its permit among all connections.
    permit: OwnedSemaphorePermit,
    stream: TcpStream,
}

impl Server {
    /// Serves a connection in a task of its own, or refuses it if its client has too many.
    fn spawn_connection(&mut self, accepted: Option<AcceptedConnection>) {
        let Some(accepted) = accepted else {
            return;
        };
        let AcceptedConnection {
            empty_at,
            peer,
            permit,
            stream,
        } = accepted;
        while self.tasks.try_join_next().is_some() {}
        let Some(client) = self.client_limiter.try_acquire(peer) else {
            // The permit is released at once. The answer fits into the send buffer of the socket,
            // so a single write that does not wait is enough.
            let _ = stream.try_write(&too_many_connections_fault(self.limits).into_raw_response());
            return;
        };
        let limits = self.handler.limits(self.limits);
        let (handler, shutdown) = (self.handler.clone(), self.shutdown.clone());
        let progress = Arc::new(RequestProgress::default());
        let monitor = self.monitor.clone();
        let stream = CallerStream::new(stream, empty_at, progress.clone(), monitor);
        self.tasks.spawn(async move {
            serve_connection(stream, progress, peer, handler, limits, shutdown).await;
            drop((client, permit));
        });
    }
}

/// Connections that wait to be accepted.
struct Backlog {
    connections: Arc<Semaphore>,
    /// Time by which no connection waited.
    empty_at: Duration,
    listener: TcpListener,
    monitor: Arc<RunMonitor>,
}

impl Backlog {
    /// Accepts the next connection once the total limit permits it. Returns none on an error.
    async fn accept(&mut self) -> Option<AcceptedConnection> {
        let permit = self.connections.clone().acquire_owned().await.ok()?;
        let accepted = match self.listener.accept().now_or_never() {
            Some(accepted) => accepted,
            None => {
                self.empty_at = self.monitor.ticked_at();
                self.listener.accept().await
            }
        };
        match accepted {
            Err(error) => {
                // Usually out of file descriptors or memory: give open connections time to end.
                tracing::warn!(%error, "failed to accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
                None
            }
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                Some(AcceptedConnection {
                    empty_at: self.empty_at,
                    peer,
                    permit,
                    stream,
                })
            }
        }
    }
}

/// Serves the requests of one connection until it ends or, after the shutdown signal, until the
/// requests that have been received completely are answered.
async fn serve_connection(
    stream: CallerStream,
    progress: Arc<RequestProgress>,
    peer: SocketAddr,
    handler: Arc<dyn Handler>,
    limits: Limits,
    shutdown: watch::Receiver<bool>,
) {
    let recorded_progress = progress.clone();
    let is_stopping = shutdown.clone();
    let service = service_fn(move |request| {
        let on_close = CloseHandling::new(handler.close_policy());
        let arrived_at = recorded_progress.record_begun(CurrentRequest {
            allows_interim: request.version() == Version::HTTP_11,
            on_close: on_close.clone(),
        });
        let arrived_at = arrived_at.unwrap_or_else(clock::now);
        let (handler, progress) = (handler.clone(), recorded_progress.clone());
        let is_stopping = is_stopping.clone();
        async move {
            let received = ReceivedRequest {
                arrived_at,
                on_close,
                peer,
                request,
            };
            let mut response = respond(received, handler, limits).await;
            progress.record_answering();
            // The connection ends with the answer to the last request that was received.
            if progress.has_unanswered() {
                response.headers_mut().remove(CONNECTION);
            } else if *is_stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            match response.extensions().get::<Disconnect>() {
                None => Ok(response.map(|body| TrackedBody::new(body, progress))),
                Some(disconnect) => Err(*disconnect),
            }
        }
    });
    let mut connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(limits.idle_timeout())
        .max_buf_size(limits.head_bytes)
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        // Reads what has arrived before the connection may be closed as idle.
        biased;
        result = &mut connection => result,
        () = wait_for_end(&progress, shutdown) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%peer, %error, "connection ended with an error");
        let stream = connection.into_parts().io.into_inner();
        stream.reply_to_bad_head(&error, limits).await;
    }
}

/// Waits for the shutdown signal, and until all requests that a connection has received are answered.
async fn wait_for_end(progress: &RequestProgress, mut shutdown: watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stop| *stop).await;
    // The first request of a new connection may be in the socket buffer but not read yet.
    if !progress.has_begun_any() {
        let _ = timeout(BACKLOG_GRACE, progress.changed()).await;
    }
    // Requests that arrive behind the current one, until its answer says that the connection ends, are answered too.
    while progress.is_busy() {
        progress.changed().await;
    }
}

fn too_many_connections_fault(limits: Limits) -> Fault {
    let message = format!(
        "this address has {} connections open, as many as it may; close some, or use another entry \
         address",
        limits.client_connection_count
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Fault::new(status, "too_many_connections", message).retry_after(Duration::from_secs(1))
}

/// A request whose head was received.
struct ReceivedRequest {
    arrived_at: Duration,
    on_close: CloseHandling,
    peer: SocketAddr,
    request: hyper::Request<Incoming>,
}

/// Reads the body of a request, lets the handler answer it, and answers an unreadable body itself.
async fn respond(received: ReceivedRequest, handler: Arc<dyn Handler>, limits: Limits) -> Response {
    let (head, body) = received.request.into_parts();
    let body = match read_body(body, limits).await {
        Err(fault) => return fault.into_response(),
        Ok(body) => body,
    };
    let request = Request {
        arrived_at: received.arrived_at,
        body,
        headers: head.headers,
        method: head.method,
        on_close: received.on_close,
        path: head.uri.path().into(),
        peer: received.peer,
        query: head.uri.query().unwrap_or_default().into(),
    };
    handler.handle(request).await
}

/// Reads a body within the size limit, waiting at most the idle timeout for each chunk.
async fn read_body(body: Incoming, limits: Limits) -> Result<Bytes, Fault> {
    let mut body = Limited::new(body, limits.body_bytes);
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout(limits.idle_timeout(), body.frame()).await {
            Err(_) => return Err(slow_body_fault(limits)),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(error))) => return Err(unreadable_body_fault(error.as_ref(), limits)),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

fn slow_body_fault(limits: Limits) -> Fault {
    let message = format!(
        "no byte of the body came for {} ms; send it faster",
        limits.idle_ms
    );
    Fault::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

fn unreadable_body_fault(error: &(dyn StdError + 'static), limits: Limits) -> Fault {
    if error.is::<LengthLimitError>() {
        let error = Error::BodyTooLong {
            limit_bytes: limits.body_bytes,
        };
        return Fault::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            error.to_string(),
        );
    }
    let message = format!("the body cannot be read: {error}; send it again");
    Fault::new(StatusCode::BAD_REQUEST, "body_unreadable", message)
}
