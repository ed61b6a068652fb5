use super::*;

/// Rounds over all addresses after the first one, before a broken stream counts as failed.
const MAX_RESUME_ROUNDS: u32 = 10;

/// Delay between two rounds over the addresses.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Measurements of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestOutcome {
    /// Time from the start of the request to its first token; none if no token arrived.
    pub(crate) first_token_wait: Option<Duration>,
    /// Times between consecutive tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Whether the stream ended regularly with exactly the expected number of tokens.
    pub(crate) is_complete: bool,
    /// Attempts that failed after the first event had arrived, each followed by a resumption.
    pub(crate) resume_count: u32,
}

/// A request whose answer is streamed, with everything that sending and resuming it needs.
#[derive(Debug)]
pub(crate) struct StreamedRequest {
    pub(crate) addresses: Arc<AddressSource>,
    pub(crate) body: Value,
    /// Time without an event after which the stream counts as broken.
    pub(crate) idle_timeout: Duration,
    pub(crate) key: String,
    /// Number of tokens of a complete answer.
    pub(crate) max_tokens: u32,
}

/// State of a stream across its connections.
#[derive(Debug)]
struct StreamProgress {
    last_token_at: Instant,
    /// Id of the last event, from which the stream is resumed; empty before the first event.
    last_event_id: String,
    outcome: RequestOutcome,
    started_at: Instant,
    token_count: u32,
}

impl StreamedRequest {
    /// Reads the answer to its end. If the stream breaks, resumes it at the next address.
    pub(crate) async fn run(&self) -> RequestOutcome {
        let now = Instant::now();
        let mut progress = StreamProgress {
            last_token_at: now,
            last_event_id: String::new(),
            outcome: RequestOutcome::default(),
            started_at: now,
            token_count: 0,
        };
        for _ in 0..=MAX_RESUME_ROUNDS {
            for address in self.addresses.get().await {
                let result = self.read_from(address, &mut progress).await;
                if matches!(result, Ok(true)) {
                    progress.outcome.is_complete = progress.token_count == self.max_tokens;
                    return progress.outcome;
                }
                if !progress.last_event_id.is_empty() {
                    progress.outcome.resume_count += 1;
                }
            }
            sleep(RESUME_DELAY).await;
        }
        progress.outcome
    }

    /// Reads the stream from one address. Returns whether it reached the end of the answer; false
    /// if the connection closed before.
    async fn read_from(&self, address: SocketAddr, progress: &mut StreamProgress) -> Result<bool> {
        let call = match progress.last_event_id.parse::<ResumePoint>() {
            Err(_) => Call::post("/v1/completions", &self.body)?,
            Ok(point) => Call::get(format!("/v1/completions/{}", point.request))
                .header("last-event-id", &progress.last_event_id),
        };
        let call = call.header("authorization", format!("Bearer {}", self.key));
        let mut connection = Connection::open(address, call.connect_timeout).await?;
        let reply = connection.send(&call).await?;
        if !reply.status.is_success() {
            bail!("{address} refused the request with status {}", reply.status);
        }
        let mut events = ServerEventReader::new(reply.lines());
        while let Some(event) = events.next(self.idle_timeout).await? {
            if event.event == "error" {
                bail!("the stream failed: {}", event.data);
            }
            if event.data == "[DONE]" {
                return Ok(true);
            }
            let data: Value = serde_json::from_str(&event.data)?;
            if data["choices"][0]["finish_reason"].is_null() {
                progress.record_token();
            }
            progress.last_event_id = event.id;
        }
        Ok(false)
    }
}

impl StreamProgress {
    fn record_token(&mut self) {
        let now = Instant::now();
        match self.outcome.first_token_wait {
            None => self.outcome.first_token_wait = Some(now - self.started_at),
            Some(_) => self.outcome.gaps.push(now - self.last_token_at),
        }
        self.last_token_at = now;
        self.token_count += 1;
    }
}
