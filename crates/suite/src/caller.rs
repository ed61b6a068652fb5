use super::*;

/// Time without an event after which the caller considers the instance of a stream unreachable.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Header of a refusal that lists the addresses of other instances.
const ENTRY_ADDRESSES: &str = "x-entry-addresses";

/// Prefix of the error for a refusal that names other addresses.
const REDIRECT_PREFIX: &str = "redirected: ";

/// Client of the router that uses one account's key and records everything that it receives.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Entry addresses that were known before; tried when all of `entries` fail.
    pub previous_entries: Vec<SocketAddr>,
    /// Entry addresses, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// Secret key of the account.
    pub key: String,
    /// Receives everything that the caller observes.
    pub recorder: Recorder,
}

/// Progress of a streamed answer.
#[derive(Clone, Debug, Default)]
pub struct StreamState {
    /// Whether the end of the answer was received.
    pub is_complete: bool,
    /// Id of the last event, from which the stream can be resumed; empty before the first.
    pub last_event: String,
    /// Text received so far.
    pub text: String,
    /// Number of tokens received so far.
    pub token_count: usize,
}

impl StreamState {
    /// Request in the id of the last event; empty before the first.
    #[must_use]
    pub fn request(&self) -> RequestId {
        let point = self.last_event.parse::<ResumePoint>();
        point.map(|point| point.request).unwrap_or_default()
    }
}

impl Caller {
    /// Fetches the current entry addresses and uses them from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when no instance replies with addresses.
    pub async fn fetch_addresses(&mut self) -> Result<Vec<SocketAddr>> {
        let reply = self.send(&Call::get("/v1/addresses")).await?;
        let body: Value = reply.json()?;
        let mut addresses = Vec::new();
        for entry in body["addresses"]
            .as_array()
            .context("the reply has no `addresses`")?
        {
            let text = entry["address"]
                .as_str()
                .context("an entry of the reply has no `address`")?;
            addresses.push(text.parse()?);
        }
        self.entries.clone_from(&addresses);
        Ok(addresses)
    }

    /// Fetches the current entry addresses and uses them from now on; keeps the known ones if no
    /// instance replies. Previous addresses are tried only when all current ones fail.
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

    /// Streams an answer to its end and resumes it at another address when the connection breaks.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer does not end within `WAIT_LIMIT`.
    pub async fn generate(&self, body: &Value) -> Result<StreamState> {
        self.resume(body, StreamState::default()).await
    }

    /// Starts or resumes an answer at `entry` and reads it into `stream` until the connection ends.
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

    /// Starts or resumes an answer at `entry`, reads it until `should_stop` returns true, and
    /// returns the open connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends before that or the request is refused.
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

    /// Reads the rest of an answer; tries one address after another.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer does not end within `WAIT_LIMIT`.
    pub async fn resume(&self, body: &Value, mut stream: StreamState) -> Result<StreamState> {
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut last_error = anyhow!("no entry address");
        while Instant::now() < deadline {
            for entry in self.entries.iter().chain(&self.previous_entries) {
                match self.read(*entry, body, &mut stream).await {
                    Err(error) => {
                        let error = self.record_error(error);
                        let text = format!("{error:#}");
                        // Errors of instances that have ended would hide those of the others.
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

    /// Returns a copy of the caller with a separate recorder.
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
            // The first event has an id but no data, so that a stream can be resumed before it has
            // delivered a token.
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
        let text = choice["text"].as_str().context("an event has no text")?;
        // The request in the id of the first event is the caller's own. The recorder checks that
        // all later events belong to it.
        let first: ResumePoint = stream.last_event.parse()?;
        let point: ResumePoint = event.id.parse()?;
        stream.last_event.clone_from(&event.id);
        if !choice["finish_reason"].is_null() {
            self.recorder.record_completion(&first.request);
            stream.is_complete = true;
            return Ok(());
        }
        // The index in an event's id is the number of tokens received including that event.
        let index = point
            .index
            .checked_sub(1)
            .context("the id of a token event has index 0")?;
        self.recorder
            .record_token(&first.request, &point.request, index, text);
        stream.text.push_str(text);
        stream.token_count += 1;
        Ok(())
    }

    /// Records an error, unless it is a refusal that names other addresses.
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

    /// Sends a request to one address after another until one replies.
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
            bail!("`x-outcome` is `not_run` but `retry-after` is missing: {text}")
        }
        Some("not_run") => Ok(CallOutcome::NotRun),
        Some("ran") => Ok(CallOutcome::Ran(text)),
        Some("unknown") => Ok(CallOutcome::Unknown),
        _ => bail!(
            "`x-outcome` is missing or unknown, status {}: {text}",
            reply.status
        ),
    }
}
