use {
    super::*,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    reply_reader::{Framing, ReplyReader, header, status, without},
};

/// Byte with which an endless body is filled.
pub const FILL_BYTE: u8 = b'~';
/// Number of endless bytes in one write.
const FILL_COUNT: usize = 1024;
/// Pause between two writes of endless bytes.
const FILL_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that are no reply.
const NO_REPLY: &str = "\x16\x03\x01 ~ no reply ~\r\n\r\n";
/// Reply that is written in the middle of a body.
const ERROR_REPLY: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed";

/// HTTP/1.1 proxy in the test process that damages the replies of a server, or adds replies, on
/// connections that both sides keep. Dropping it closes all of its connections.
#[derive(Debug)]
pub struct FaultyReplies {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    faults: ReplyFaults,
    injected: BTreeMap<String, usize>,
    random: ChaCha8Rng,
    target: SocketAddr,
}

impl FaultyReplies {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port is free.
    pub async fn start(target: SocketAddr, faults: ReplyFaults) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            injected: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(faults.seed),
            faults,
            target,
        }));
        let task = tokio::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Address that clients must use instead of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of injected faults by name.
    #[must_use]
    pub fn injected(&self) -> BTreeMap<String, usize> {
        lock(&self.state).injected.clone()
    }

    /// Replaces the faults and restarts the draws with their seed.
    pub fn set_faults(&self, faults: ReplyFaults) {
        let mut state = lock(&self.state);
        state.random = ChaCha8Rng::seed_from_u64(faults.seed);
        state.faults = faults;
    }

    /// Sets the share of the exchanges that draw a fault.
    pub fn set_share(&self, share: f64) {
        lock(&self.state).faults.share = share;
    }

    /// Sends new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = target;
    }
}

impl Drop for FaultyReplies {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let state = state.clone();
        let target = lock(&state).target;
        connections.spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let (sent, requested) = watch::channel(());
            let exchanges = Exchanges {
                client: client_write,
                history: History::default(),
                replies: ReplyReader::new(server_read),
                requested,
                state,
            };
            tokio::select! {
                () = copy_requests(client_read, server_write, sent) => {}
                _ = exchanges.run(target) => {}
            }
        });
    }
}

/// Copies requests and signals each piece. Returns when one side has closed the connection.
async fn copy_requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, sent: watch::Sender<()>) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        sent.send_replace(());
    }
}

/// Earlier replies of a connection.
#[derive(Debug, Default)]
struct History {
    last: Option<(String, Vec<u8>)>,
    last_refusal: Option<(String, Vec<u8>)>,
}

/// The exchanges of one connection, one after another.
#[derive(Debug)]
struct Exchanges {
    client: OwnedWriteHalf,
    history: History,
    replies: ReplyReader,
    requested: watch::Receiver<()>,
    state: Arc<Mutex<State>>,
}

impl Exchanges {
    /// Runs exchanges until the connection ends. Returns none at its end.
    async fn run(mut self, target: SocketAddr) -> Option<()> {
        for number in 0_usize.. {
            tokio::select! {
                changed = self.requested.changed() => changed.ok()?,
                has_bytes = self.replies.has_bytes() => has_bytes.then_some(())?,
            }
            let fault = self.draw(target, number);
            if let Some(fault) = fault.filter(|fault| fault.is_early()) {
                self.write_early(fault).await?;
            }
            let head = self.replies.head().await?;
            // The next request is sent only after this reply, so all pieces so far belong to this one.
            self.requested.borrow_and_update();
            match fault.filter(|fault| !fault.is_early()) {
                None => self.forward(head).await?,
                Some(ReplyFault::CopyBehind) => self.forward_twice(head).await?,
                Some(fault) => {
                    if self.damage(&head, fault).await? {
                        let _ = self.client.as_ref().set_zero_linger();
                        self.client.forget();
                    }
                    return None;
                }
            }
        }
        None
    }

    /// Draws the fault of an exchange and logs it.
    fn draw(&self, target: SocketAddr, exchange: usize) -> Option<ReplyFault> {
        let mut state = lock(&self.state);
        let share = state.faults.share;
        if !state.random.random_bool(share) {
            return None;
        }
        let faults = state.faults.faults.clone();
        let fault = *faults.choose(&mut state.random)?;
        let (last, refusal) = (&self.history.last, &self.history.last_refusal);
        let copied = if fault == ReplyFault::CopyBefore {
            last
        } else {
            refusal
        };
        if fault.is_early() && copied.is_none() {
            return None;
        }
        let name = state.faults.id_header;
        let id = copied.as_ref().and_then(|(head, _)| header(head, name));
        let id = id.filter(|_| fault.is_early()).unwrap_or_default();
        let seed = state.faults.seed;
        println!("fault {fault:?} {id} seed {seed} target {target} exchange {exchange}");
        *state.injected.entry(format!("{fault:?}")).or_default() += 1;
        Some(fault)
    }

    /// Writes what precedes the reply of the server. Returns none when the connection ends there.
    async fn write_early(&mut self, fault: ReplyFault) -> Option<()> {
        let history = &self.history;
        let copied = if fault == ReplyFault::CopyBefore {
            &history.last
        } else {
            &history.last_refusal
        };
        let (head, body) = copied.clone()?;
        if fault == ReplyFault::CutInRefusal {
            self.write(&head.as_bytes()[..head.len() - 4]).await?;
            return None;
        }
        let head = if fault == ReplyFault::CopyOfRefusalWithoutId {
            without(&head, &[lock(&self.state).faults.id_header])
        } else {
            head
        };
        self.write(&[head.as_bytes(), &body].concat()).await
    }

    async fn forward(&mut self, head: String) -> Option<()> {
        self.write(head.as_bytes()).await?;
        if status(&head) < 200 {
            return Some(());
        }
        let mut framing = Framing::of(&head);
        let mut body = Vec::new();
        loop {
            let (piece, is_last) = self.replies.piece(&mut framing).await?;
            body.extend_from_slice(&piece);
            if is_last {
                self.record(head, body);
                return self.write(&piece).await;
            }
            self.write(&piece).await?;
        }
    }

    async fn forward_twice(&mut self, head: String) -> Option<()> {
        let body = self.body(&head).await?;
        let reply = [head.as_bytes(), &body].concat();
        self.record(head, body);
        self.write(&reply.repeat(2)).await
    }

    /// Writes a damaged reply, after which the connection ends. Returns whether it is reset.
    async fn damage(&mut self, head: &str, fault: ReplyFault) -> Option<bool> {
        let framing = Framing::of(head);
        match fault {
            ReplyFault::CutBehindHead => self.write(head.as_bytes()).await?,
            ReplyFault::CutInHead => self.write(&head.as_bytes()[..head.len() / 2]).await?,
            ReplyFault::EndlessBody => self.write_endless_body(head, framing).await?,
            ReplyFault::EndlessHead => {
                let start = format!("{}\r\nx-fill: ", head.trim_end());
                self.write(start.as_bytes()).await?;
                self.write_endless(&fill()).await?;
            }
            ReplyFault::NoReply => self.write(NO_REPLY.as_bytes()).await?,
            ReplyFault::ResetUnframed if framing != Framing::Chunked => {
                let body = self.body(head).await?;
                let start = format!("{}connection: close\r\n\r\n", unframed(head));
                self.write(start.as_bytes()).await?;
                self.write(&body[..body.len() / 2]).await?;
                return Some(true);
            }
            _ => return self.damage_body(head, fault, framing).await,
        }
        Some(false)
    }

    /// Writes the head and a part of the body. Returns whether the connection is reset.
    async fn damage_body(
        &mut self,
        head: &str,
        fault: ReplyFault,
        mut framing: Framing,
    ) -> Option<bool> {
        self.write(head.as_bytes()).await?;
        let (piece, _) = self.replies.piece(&mut framing).await?;
        if fault == ReplyFault::ErrorInBody && framing == Framing::Chunked {
            let bytes = [&piece, ERROR_REPLY.as_bytes()].concat();
            self.write(&bytes).await?;
            return Some(false);
        }
        self.write(&piece[..piece.len() / 2]).await?;
        // The end of the connection would complete a reply without framing.
        Some(framing == Framing::UntilClose || fault != ReplyFault::CutInBody)
    }

    /// Writes the whole body in chunks, and then chunks without end.
    async fn write_endless_body(&mut self, head: &str, framing: Framing) -> Option<()> {
        let mut body = self.body(head).await?;
        if framing == Framing::Chunked {
            body.truncate(body.len().saturating_sub("0\r\n\r\n".len()));
        } else if !body.is_empty() {
            let line = format!("{:x}\r\n", body.len());
            body = [line.as_bytes(), &body, b"\r\n"].concat();
        }
        let start = format!("{}transfer-encoding: chunked\r\n\r\n", unframed(head));
        self.write(start.as_bytes()).await?;
        self.write(&body).await?;
        let chunk = format!("{FILL_COUNT:x}\r\n{}\r\n", fill());
        self.write_endless(&chunk).await
    }

    /// Reads a whole body with its framing.
    async fn body(&mut self, head: &str) -> Option<Vec<u8>> {
        let mut framing = Framing::of(head);
        let mut body = Vec::new();
        loop {
            let (piece, is_last) = self.replies.piece(&mut framing).await?;
            body.extend(piece);
            if is_last {
                return Some(body);
            }
        }
    }

    fn record(&mut self, head: String, body: Vec<u8>) {
        if status(&head) == 503 {
            self.history.last_refusal = Some((head.clone(), body.clone()));
        }
        self.history.last = Some((head, body));
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.client.write_all(bytes).await.ok()
    }

    /// Writes until the client closes the connection.
    async fn write_endless(&mut self, text: &str) -> Option<()> {
        loop {
            self.write(text.as_bytes()).await?;
            sleep(FILL_INTERVAL).await;
        }
    }
}

/// Returns a head that states no framing, without the empty line at its end.
fn unframed(head: &str) -> String {
    let names = ["connection", "content-length", "transfer-encoding"];
    without(head.trim_end(), &names).trim_end().to_owned() + "\r\n"
}

fn fill() -> String {
    char::from(FILL_BYTE).to_string().repeat(FILL_COUNT)
}
