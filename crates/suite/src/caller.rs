use super::*;

/// Longest silence on a stream before the caller takes the instance for lost.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Header of a refusal with the addresses of other instances.
const ENTRY_ADDRESSES: &str = "x-entry-addresses";

/// Start of the message of a refusal that names other addresses.
const REDIRECT_PREFIX: &str = "go elsewhere: ";

/// A caller signed in to an account. It records everything that it is told.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Entry addresses that were used before.
    pub previous_entries: Vec<SocketAddr>,
    /// Entry addresses, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Secret key of the account.
    pub key: String,
    /// Where to record.
    pub recorder: Recorder,
}

/// Where a streamed answer stands.
#[derive(Clone, Debug, Default)]
pub struct StreamState {
    /// Whether the end came.
    pub is_complete: bool,
    /// Id of the last event; empty before the first.
    pub last_event: String,
    /// Text so far.
    pub text: String,
    /// Tokens so far.
    pub token_count: usize,
}

impl StreamState {
    /// Request that the last event names; empty before the first.
    #[must_use]
    pub fn request(&self) -> RequestId {
        let point = self.last_event.parse::<ResumePoint>();
        point.map(|point| point.request).unwrap_or_default()
    }
}

impl Caller {
    /// Asks for the entry addresses and uses them from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when no instance replies with addresses.
    pub async fn fetch_addresses(&mut self) -> Result<Vec<SocketAddr>> {
        let reply = self.send(&Call::get("/v1/addresses")).await?;
        let body: Value = reply.json()?;
        let mut addresses = Vec::new();
        for entry in body["addresses"].as_array().context("no `addresses`")? {
            let text = entry["address"].as_str().context("no `address`")?;
            addresses.push(text.parse()?);
        }
        self.entries.clone_from(&addresses);
        Ok(addresses)
    }

    /// Asks for the entry addresses and uses them from now on; keeps those known when no instance
    /// replies. Earlier ones are tried again only when all newer ones fail.
    pub async fn refresh_addresses(&mut self) {
        let known = self.entries.clone();
        if self.fetch_addresses().await.is_err() || self.entries.is_empty() {
            self.entries = known;
            return;
        }
        for entry in known {
            if !self.previous_entries.contains(&entry) {
                self.previous_entries.push(entry);
            }
        }
    }

    /// Calls a non-repeatable operation and records the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error when no instance replies.
    pub async fn call(&self, path: &str, key: &str, body: &Value) -> Result<CallOutcome> {
        let call = Call::post(path, body)?.header("idempotency-key", key);
        let number = self.recorder.record_call(key);
        let outcome = parse_outcome(&self.send(&call).await?)?;
        self.recorder.record_outcome(number, outcome.clone());
        Ok(outcome)
    }

    /// Streams an answer to its end, and resumes it at another address when it breaks.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer does not end within the limit.
    pub async fn generate(&self, body: &Value) -> Result<StreamState> {
        self.resume(body, StreamState::default()).await
    }

    /// Reads one connection's part of an answer into `stream`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the request is refused.
    pub async fn read(
        &self,
        entry: SocketAddr,
        body: &Value,
        stream: &mut StreamState,
    ) -> Result<()> {
        let mut events = self.open(entry, body, stream).await?;
        while let Some(event) = events.next(READ_TIMEOUT).await? {
            self.handle_event(&mut events, &event, stream)?;
        }
        Ok(())
    }

    /// Reads one connection's part of an answer until `is_enough`, and returns the open connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks before.
    pub async fn read_until(
        &self,
        entry: SocketAddr,
        body: &Value,
        stream: &mut StreamState,
        should_stop: impl Fn(&StreamState) -> bool,
    ) -> Result<ServerEventReader> {
        let mut events = self.open(entry, body, stream).await?;
        while !should_stop(stream) {
            let event = events.next(READ_TIMEOUT).await?;
            let event = event.with_context(|| format!("{entry} ended the stream early"))?;
            self.handle_event(&mut events, &event, stream)?;
        }
        Ok(events)
    }

    /// Goes on with an answer to its end, at one address after another.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer does not end within the limit.
    pub async fn resume(&self, body: &Value, mut stream: StreamState) -> Result<StreamState> {
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut last_error = anyhow!("no entry address");
        while Instant::now() < deadline {
            for entry in self.entries.iter().chain(&self.previous_entries) {
                match self.read(*entry, body, &mut stream).await {
                    Err(error) => {
                        let error = self.record_error(error);
                        let text = format!("{error:#}");
                        // Addresses of ended instances would hide the reason of the others.
                        if !text.starts_with("no connection") {
                            last_error = error.context(stream.last_event.clone());
                        }
                    }
                    Ok(()) if stream.is_complete => return Ok(stream),
                    Ok(()) => last_error = anyhow!("{entry} ended the stream early"),
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(last_error.context("the answer did not end"))
    }

    /// The same caller with a record of its own.
    #[must_use]
    pub fn with_own_recorder(&self) -> Self {
        Self {
            recorder: Recorder::default(),
            ..self.clone()
        }
    }

    async fn open(
        &self,
        entry: SocketAddr,
        body: &Value,
        stream: &StreamState,
    ) -> Result<ServerEventReader> {
        let call = match stream.last_event.parse::<ResumePoint>() {
            Err(_) => Call::post("/v1/completions", body)?,
            Ok(point) => Call::get(format!("/v1/completions/{}", point.request))
                .header("last-event-id", &stream.last_event),
        };
        let call = self.authorized(call);
        let mut connection = Connection::open(entry, call.connect_timeout).await?;
        let mut reply = connection.send(&call).await?;
        if !reply.status.is_success() {
            let text = reply.read(READ_TIMEOUT, 64 * 1024).await?;
            let text = String::from_utf8_lossy(&text).into_owned();
            let others = reply.headers.get(ENTRY_ADDRESSES);
            if others.is_some_and(|others| !others.is_empty()) {
                bail!(
                    "{REDIRECT_PREFIX}{entry} refused with {}: {text}",
                    reply.status
                );
            }
            bail!("{entry} refused with {}: {text}", reply.status);
        }
        Ok(ServerEventReader::new(reply.lines()))
    }

    fn handle_event(
        &self,
        events: &mut ServerEventReader,
        event: &ServerEvent,
        stream: &mut StreamState,
    ) -> Result<()> {
        if stream.last_event.is_empty() {
            // The first event has an id and no data; it allows a resume before any token.
            stream.last_event = events.last_id().into();
        }
        self.apply_event(event, stream)
    }

    fn apply_event(&self, event: &ServerEvent, stream: &mut StreamState) -> Result<()> {
        if event.event == "error" {
            bail!("the stream failed: {}", event.data);
        }
        if event.data == "[DONE]" {
            return Ok(());
        }
        let data: Value = serde_json::from_str(&event.data)?;
        let choice = &data["choices"][0];
        let text = choice["text"].as_str().context("an event without text")?;
        // The id that the first event named is the caller's request; others are compared with it.
        let first: ResumePoint = stream.last_event.parse()?;
        let point: ResumePoint = event.id.parse()?;
        stream.last_event.clone_from(&event.id);
        if !choice["finish_reason"].is_null() {
            self.recorder.record_completion(&first.request);
            stream.is_complete = true;
            return Ok(());
        }
        // An event id counts the tokens that the caller has after the event.
        let index = point.index.checked_sub(1).context("a token with count 0")?;
        self.recorder
            .record_token(&first.request, &point.request, index, text);
        stream.text.push_str(text);
        stream.token_count += 1;
        Ok(())
    }

    /// Records a fault that a caller met, unless it was a refusal that names other addresses.
    fn record_error(&self, error: Error) -> Error {
        let text = format!("{error:#}");
        if !text.starts_with(REDIRECT_PREFIX) {
            self.recorder.record_error(text);
        }
        error
    }

    fn authorized(&self, call: Call) -> Call {
        call.header("authorization", format!("Bearer {}", self.key))
    }

    /// Sends a request to the first address that replies.
    async fn send(&self, call: &Call) -> Result<Reply> {
        let call = self.authorized(call.clone());
        let mut last_error = anyhow!("no entry address");
        for entry in self.entries.iter().chain(&self.previous_entries) {
            match wire::call(*entry, &call).await {
                Err(error) => last_error = self.record_error(error.into()),
                Ok(reply) => return Ok(reply),
            }
        }
        Err(last_error)
    }
}

fn parse_outcome(reply: &Reply) -> Result<CallOutcome> {
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    match reply.header("x-outcome") {
        Some("not_run") if reply.header("retry-after").is_none() => {
            bail!("not run, and no `Retry-After`: {text}")
        }
        Some("not_run") => Ok(CallOutcome::NotRun),
        Some("ran") => Ok(CallOutcome::Ran(text)),
        Some("unknown") => Ok(CallOutcome::Unknown),
        _ => bail!("no `x-outcome` with status {}: {text}", reply.status),
    }
}
