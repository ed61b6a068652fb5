use super::*;

/// Computation of one token, as one stage forwards it to the next.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ForwardRequest {
    pub(crate) attempt: Attempt,
    pub(crate) index: TokenIndex,
    pub(crate) model: ModelId,
    /// Position of the receiving stage in the route.
    pub(crate) position: usize,
    /// Input to process before the first token of an attempt; none for later tokens.
    pub(crate) prefill: Option<Prefill>,
    pub(crate) prompt_hash: Arc<str>,
    pub(crate) request: RequestId,
    pub(crate) route: Route,
    pub(crate) seed: u64,
}

impl ForwardRequest {
    /// Id that the reply to this step carries.
    pub(crate) fn id(&self) -> StepId {
        StepId {
            attempt: self.attempt,
            index: self.index,
            position: self.position,
            request: self.request.clone(),
        }
    }
}

/// Identifies a step at one stage. Each reply names its step, because a reply to an earlier step may arrive late on a
/// connection that is used again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StepId {
    attempt: Attempt,
    index: TokenIndex,
    position: usize,
    request: RequestId,
}

/// Prompt, and the number of answer tokens that earlier attempts delivered.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Prefill {
    pub(crate) delivered_tokens: u32,
    pub(crate) prompt: Arc<str>,
}

/// Reply of a stage to one forwarded step, and the step that it belongs to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StepReply {
    pub(crate) reply: ForwardReply,
    pub(crate) step: StepId,
}

/// Result of one forwarded step.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ForwardReply {
    Failed(AttemptFailure),
    Ran {
        layers: Vec<LayerRange>,
        text: Arc<str>,
    },
}

/// Time for which an idle connection may be reused. It is below the idle timeout of servers, so
/// that a connection that the server closed as idle is not mistaken for a failed stage.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Pool of open connections to the next stages.
#[derive(Debug, Default)]
pub(crate) struct StageConnections {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl StageConnections {
    /// Sends one step and waits for its result.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        step: &ForwardRequest,
        limit: Duration,
    ) -> Result<ForwardReply, FailureKind> {
        let mut call = Call::post("/v1/forward", step).map_err(|_| FailureKind::Unreachable)?;
        call.reply_timeout = limit;
        let mut connection = match self.take_idle(address) {
            None => Connection::open(address, limit)
                .await
                .map_err(|_| FailureKind::Unreachable)?,
            Some(connection) => connection,
        };
        let failure = |error: wire::Error| match error {
            wire::Error::Timeout { .. } => FailureKind::Silent,
            _ => FailureKind::Broken,
        };
        let mut reply = connection.send(&call).await.map_err(failure)?;
        let body = reply
            .read(limit, call.max_reply_bytes)
            .await
            .map_err(failure)?;
        if reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(FailureKind::Refused);
        }
        let reply: StepReply = serde_json::from_slice(&body).map_err(|_| FailureKind::Protocol)?;
        if reply.step != step.id() {
            tracing::warn!(expected = ?step.id(), received = ?reply.step, "reply belongs to another step");
            return Err(FailureKind::Protocol);
        }
        let mut idle = lock(&self.idle);
        idle.entry(address)
            .or_default()
            .push((Instant::now(), connection));
        Ok(reply.reply)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        connections.retain(|(used_at, connection)| {
            connection.is_open() && used_at.elapsed() < MAX_IDLE_TIME
        });
        connections.pop().map(|(_, connection)| connection)
    }
}
