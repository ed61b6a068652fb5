use super::*;

/// Reason why a stream ended without a complete answer.
#[derive(Clone, Debug)]
pub(crate) enum StreamFailure {
    /// An error on this instance.
    Fault(Fault),
    /// The node refused the request.
    Refused(Refusal),
}

/// JSON form of a complete answer, or of one event of a streamed answer.
#[derive(Serialize)]
pub(crate) struct Completion {
    choices: [Choice; 1],
    id: RequestId,
    model: ModelId,
    object: &'static str,
}

#[derive(Serialize)]
struct Choice {
    finish_reason: Option<FinishReason>,
    index: u32,
    text: String,
}

/// Destination of the tokens of a stream.
pub(crate) enum Output {
    /// Streamed answer of server-sent events.
    Events {
        /// Receives the result that decides between a streamed response and an error response; none
        /// once it is decided.
        start: Option<oneshot::Sender<Result<(), StreamFailure>>>,
        body: BodySender,
        /// Time limit for a write to a caller that does not read.
        write_timeout: Duration,
    },
    /// Complete answer as a single JSON object.
    Whole {
        sender: Option<oneshot::Sender<Result<Completion, StreamFailure>>>,
        text: String,
    },
}

impl Completion {
    fn new(journal: &Journal, text: String, finish_reason: Option<FinishReason>) -> Self {
        Self {
            choices: [Choice {
                finish_reason,
                index: 0,
                text,
            }],
            id: journal.request.clone(),
            model: journal.model.clone(),
            object: "text_completion",
        }
    }
}

impl Output {
    pub(crate) fn events(
        body: BodySender,
        start: oneshot::Sender<Result<(), StreamFailure>>,
        write_timeout: Duration,
    ) -> Self {
        Self::Events {
            start: Some(start),
            body,
            write_timeout,
        }
    }

    pub(crate) fn whole(sender: oneshot::Sender<Result<Completion, StreamFailure>>) -> Self {
        Self::Whole {
            sender: Some(sender),
            text: String::new(),
        }
    }

    /// Starts the response and sends the first resume point. Returns false when the caller has
    /// disconnected.
    pub(crate) async fn start(&mut self, point: &ResumePoint) -> bool {
        let Self::Events { start, .. } = self else {
            return true;
        };
        let Some(start) = start.take() else {
            return true;
        };
        // Nobody receives this for a resumed stream, whose response has already started.
        let _ = start.send(Ok(()));
        // An event without data only sets the last event id of the client.
        self.write(format!("id: {point}\n\n").into()).await
    }

    /// Completes when the caller has disconnected.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Events { body, .. } => body.closed().await,
            Self::Whole { sender, .. } => match sender {
                None => std::future::pending().await,
                Some(sender) => sender.closed().await,
            },
        }
    }

    /// Ends the answer with an error: an error response, or an `error` event if the streamed
    /// response has started.
    pub(crate) async fn fail(&mut self, failure: StreamFailure) {
        match self {
            Self::Events { start, .. } => {
                if let Some(start) = start.take()
                    && start.send(Err(failure.clone())).is_ok()
                {
                    return;
                }
                let fault = match failure {
                    StreamFailure::Fault(fault) => fault,
                    StreamFailure::Refused(refusal) => refusal_fault(&refusal),
                };
                let event = ServerEvent {
                    data: json_text(&wire::FaultBody { error: fault }),
                    event: "error".into(),
                    id: String::new(),
                };
                self.write(event.encode()).await;
            }
            Self::Whole { sender, .. } => {
                if let Some(sender) = sender.take() {
                    let _ = sender.send(Err(failure));
                }
            }
        }
    }

    /// Ends the answer with its finish reason.
    pub(crate) async fn finish(
        &mut self,
        journal: &Journal,
        point: &ResumePoint,
        reason: FinishReason,
    ) {
        match self {
            Self::Events { .. } => {
                let last = Completion::new(journal, String::new(), Some(reason));
                self.write(data_event(&last, point)).await;
                self.write(Bytes::from_static(b"data: [DONE]\n\n")).await;
            }
            Self::Whole { sender, text } => {
                let completion = Completion::new(journal, std::mem::take(text), Some(reason));
                if let Some(sender) = sender.take() {
                    let _ = sender.send(Ok(completion));
                }
            }
        }
    }

    /// Delivers one token. Returns false when the caller has disconnected or does not read.
    pub(crate) async fn token(
        &mut self,
        journal: &Journal,
        point: &ResumePoint,
        token: &str,
    ) -> bool {
        match self {
            Self::Events { .. } => {
                let part = Completion::new(journal, token.into(), None);
                self.write(data_event(&part, point)).await
            }
            Self::Whole { text, .. } => {
                text.push_str(token);
                true
            }
        }
    }

    /// Writes to a streamed response. Returns false when the caller has disconnected or the write
    /// times out.
    async fn write(&mut self, bytes: Bytes) -> bool {
        match self {
            Self::Events {
                body,
                write_timeout,
                ..
            } => timeout(*write_timeout, body.send(bytes))
                .await
                .unwrap_or(false),
            Self::Whole { .. } => true,
        }
    }
}

fn data_event(completion: &Completion, point: &ResumePoint) -> Bytes {
    let event = ServerEvent {
        data: json_text(completion),
        event: String::new(),
        id: point.to_string(),
    };
    event.encode()
}

fn json_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
