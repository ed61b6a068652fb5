use super::*;

/// Times that one stream may break before it counts as failed.
const RESUME_COUNT: u32 = 10;

/// Wait before a broken stream is resumed.
const RESUME_WAIT: Duration = Duration::from_millis(50);

/// How one request ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) first_token: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
    /// Whether the whole answer arrived, each token once.
    pub(crate) is_complete: bool,
    /// Times that the stream was resumed.
    pub(crate) resume_count: u32,
}

/// One streamed request of one caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) addresses: Arc<Addresses>,
    pub(crate) body: Value,
    pub(crate) idle: Duration,
    pub(crate) key: String,
    pub(crate) max_tokens: u32,
}

/// Where a stream stands.
#[derive(Debug)]
struct Progress {
    last: Instant,
    last_event: String,
    outcome: Outcome,
    started: Instant,
    token_count: u32,
}

impl Exchange {
    /// Streams the answer to its end and resumes it elsewhere when it breaks.
    pub(crate) async fn run(&self) -> Outcome {
        let now = Instant::now();
        let mut progress = Progress {
            last: now,
            last_event: String::new(),
            outcome: Outcome::default(),
            started: now,
            token_count: 0,
        };
        for _ in 0..=RESUME_COUNT {
            for address in self.addresses.get().await {
                let ended = self.read(address, &mut progress).await;
                if matches!(ended, Ok(true)) {
                    progress.outcome.is_complete = progress.token_count == self.max_tokens;
                    return progress.outcome;
                }
                if !progress.last_event.is_empty() {
                    progress.outcome.resume_count += 1;
                }
            }
            sleep(RESUME_WAIT).await;
        }
        progress.outcome
    }

    /// Reads what one address sends; true at the end of the answer.
    async fn read(&self, address: SocketAddr, progress: &mut Progress) -> Result<bool> {
        let call = match progress.last_event.parse::<ResumePoint>() {
            Err(_) => Call::post("/v1/completions", &self.body)?,
            Ok(point) => Call::get(format!("/v1/completions/{}", point.request))
                .header("last-event-id", &progress.last_event),
        };
        let call = call.header("authorization", format!("Bearer {}", self.key));
        let mut connection = Connection::open(address, call.connect_timeout).await?;
        let reply = connection.send(&call).await?;
        if !reply.status.is_success() {
            bail!("{address} refused with {}", reply.status);
        }
        let mut events = ServerEventReader::new(reply.lines());
        while let Some(event) = events.next(self.idle).await? {
            if event.event == "error" {
                bail!("the stream failed: {}", event.data);
            }
            if event.data == "[DONE]" {
                return Ok(true);
            }
            let data: Value = serde_json::from_str(&event.data)?;
            if data["choices"][0]["finish_reason"].is_null() {
                progress.token();
            }
            progress.last_event = event.id;
        }
        Ok(false)
    }
}

impl Progress {
    fn token(&mut self) {
        let now = Instant::now();
        match self.outcome.first_token {
            None => self.outcome.first_token = Some(now - self.started),
            Some(_) => self.outcome.gaps.push(now - self.last),
        }
        self.last = now;
        self.token_count += 1;
    }
}
