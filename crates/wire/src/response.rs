use super::*;

/// Body of a response.
pub type Body = BoxBody<Bytes, Disconnect>;

/// Response of a server.
pub type Response = hyper::Response<Body>;

/// Makes the server close the connection without ending the reply, as a crash would.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the connection is closed on purpose; expect no reply")]
pub struct Disconnect;

/// Frames that wait for a slow reader before the writer has to wait.
const STREAM_FRAME_COUNT: usize = 32;

/// Writing end of a streamed body. Dropping it ends the body.
#[derive(Clone, Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Result<Bytes, Disconnect>>,
}

impl BodySender {
    /// Completes when the reader has gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Closes the connection after the bytes sent so far.
    pub async fn disconnect(self) {
        let _ = self.sender.send(Err(Disconnect)).await;
    }

    /// Sends bytes; returns false when the reader has gone.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.sender.send(Ok(bytes.into())).await.is_ok()
    }
}

/// Closes the connection instead of replying.
#[must_use]
pub fn disconnect() -> Response {
    let mut response = empty(StatusCode::INTERNAL_SERVER_ERROR);
    response.extensions_mut().insert(Disconnect);
    response
}

/// Response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response {
    with_body(status, None, full_body(Bytes::new()))
}

/// Response with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        Ok(bytes) => with_body(status, Some("application/json"), full_body(bytes.into())),
    }
}

/// Response whose body is written piece by piece.
#[must_use]
pub fn stream(status: StatusCode, content_type: &'static str) -> (BodySender, Response) {
    let (sender, receiver) = mpsc::channel(STREAM_FRAME_COUNT);
    let frames = futures::stream::unfold(
        receiver,
        |mut receiver: mpsc::Receiver<Result<Bytes, Disconnect>>| async move {
            let bytes = receiver.recv().await?;
            if bytes.is_err() {
                // hyper drops what it has not flushed when a body fails; it flushes when it waits.
                tokio::task::yield_now().await;
            }
            Some((bytes.map(Frame::data), receiver))
        },
    );
    let mut response = with_body(
        status,
        Some(content_type),
        BodyExt::boxed(StreamBody::new(frames)),
    );
    response
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    (BodySender { sender }, response)
}

/// Response with a plain text body.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response {
    with_body(
        status,
        Some("text/plain; charset=utf-8"),
        full_body(body.into()),
    )
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

fn with_body(status: StatusCode, content_type: Option<&'static str>, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    }
    response
}
