use super::*;

/// Why a stream ended without an answer.
#[derive(Clone, Debug)]
pub(crate) enum StreamFailure {
    Fault(Fault),
    Refused(Refusal),
}

/// JSON form of an answer, or of a part of it.
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

/// Where a stream's tokens go.
pub(crate) enum Output {
    Events {
        start: Option<oneshot::Sender<Result<(), StreamFailure>>>,
        body: BodySender,
        write_timeout: Duration,
    },
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

    /// Starts the response and sends the first resume point; returns false when the caller has
    /// gone.
    pub(crate) async fn start(&mut self, point: &ResumePoint) -> bool {
        let Self::Events { start, .. } = self else {
            return true;
        };
        let Some(start) = start.take() else {
            return true;
        };
        // A resumed stream has its response already.
        let _ = start.send(Ok(()));
        // An event without data sets the client's last event id and is not shown to its user.
        self.write(format!("id: {point}\n\n").into()).await
    }

    /// Completes when the caller has gone.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Events { body, .. } => body.closed().await,
            Self::Whole { sender, .. } => match sender {
                None => std::future::pending().await,
                Some(sender) => sender.closed().await,
            },
        }
    }

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

    /// Delivers one token; returns false when the caller has gone or does not read.
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
