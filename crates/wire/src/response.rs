use super::*;

/// Response body, either complete or streamed.
pub type Body = BoxBody<Bytes, Disconnect>;

/// Response that a handler returns.
pub type Response = hyper::Response<Body>;

/// Makes the server close the connection without completing the response, as a crash would. Used by
/// the simulated back ends of the tests.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the connection is closed on purpose; no reply follows")]
pub struct Disconnect;

/// Number of frames that are buffered for a slow reader before the writer has to wait.
const STREAM_FRAME_COUNT: usize = 32;

/// Sender of a streamed body. The body ends when all clones are dropped.
#[derive(Clone, Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Result<Bytes, Disconnect>>,
}

impl BodySender {
    /// Completes when the client has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Closes the connection after the bytes sent so far, without ending the body.
    pub async fn disconnect(self) {
        let _ = self.sender.send(Err(Disconnect)).await;
    }

    /// Sends bytes; returns false when the client has disconnected.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.sender.send(Ok(bytes.into())).await.is_ok()
    }
}

/// Returns a response that makes the server close the connection instead of replying.
#[must_use]
pub fn disconnect() -> Response {
    let mut response = empty(StatusCode::INTERNAL_SERVER_ERROR);
    response.extensions_mut().insert(Disconnect);
    response
}

/// Creates a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response {
    with_body(status, None, full_body(Bytes::new()))
}

/// Creates a response with a JSON body, or status 500 if the value cannot be serialized.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
        Ok(bytes) => with_body(status, Some("application/json"), full_body(bytes.into())),
    }
}

/// Creates a response with a streamed body, and the sender of the body.
#[must_use]
pub fn stream(status: StatusCode, content_type: &'static str) -> (BodySender, Response) {
    let (sender, receiver) = mpsc::channel(STREAM_FRAME_COUNT);
    let frames = futures::stream::unfold(
        receiver,
        |mut receiver: mpsc::Receiver<Result<Bytes, Disconnect>>| async move {
            let bytes = receiver.recv().await?;
            if bytes.is_err() {
                // When a body fails, hyper discards bytes that it has not flushed. It flushes when
                // the body is pending, so yield once before the error.
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

/// Creates a response with a plain text body.
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
