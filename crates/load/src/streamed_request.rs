use super::*;

/// Times that one stream may break before it counts as failed.
const MAX_RESUME_ROUNDS: u32 = 10;

/// Wait before a broken stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// How one request ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestOutcome {
    pub(crate) first_token_wait: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
    /// Whether the whole answer arrived, each token once.
    pub(crate) is_complete: bool,
    /// Times that the stream was resumed.
    pub(crate) resume_count: u32,
}

/// One streamed request of one caller.
#[derive(Debug)]
pub(crate) struct StreamedRequest {
    pub(crate) addresses: Arc<AddressSource>,
    pub(crate) body: Value,
    pub(crate) idle_timeout: Duration,
    pub(crate) key: String,
    pub(crate) max_tokens: u32,
}

/// Where a stream stands.
#[derive(Debug)]
struct StreamProgress {
    last_token_at: Instant,
    last_event_id: String,
    outcome: RequestOutcome,
    started_at: Instant,
    token_count: u32,
}

impl StreamedRequest {
    /// Streams the answer to its end and resumes it elsewhere when it breaks.
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

    /// Reads what one address sends; true at the end of the answer.
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
            bail!("{address} refused with {}", reply.status);
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
