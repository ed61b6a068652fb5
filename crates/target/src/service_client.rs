use super::*;

/// Header in which a service states whether it ran a call.
const OUTCOME_HEADER: &str = "x-outcome";

/// HTTP client for plain services.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceClient {
    settings: TargetSettings,
}

impl ServiceClient {
    /// Creates a client with these limits.
    #[must_use]
    pub fn new(settings: TargetSettings) -> Self {
        Self { settings }
    }
}

impl Services for ServiceClient {
    fn call(
        &self,
        address: SocketAddr,
        operation: Arc<str>,
        key: Option<Arc<str>>,
        body: Bytes,
    ) -> BoxFuture<'static, Result<CallReply, FailureKind>> {
        let settings = self.settings;
        Box::pin(async move {
            let mut call = Call {
                body,
                connect_timeout: Duration::from_millis(settings.connect_limit_ms),
                reply_timeout: Duration::from_millis(settings.service_limit_ms),
                max_reply_bytes: settings.reply_bytes,
                method: Method::POST,
                ..Call::get(format!("/v1/operations/{operation}"))
            };
            if let Some(key) = key {
                call = call.header("idempotency-key", &*key);
            }
            let reply = wire::call(address, &call)
                .await
                .map_err(|error| classify::failure_kind(&error))?;
            if reply.header(OUTCOME_HEADER) == Some("not-run") {
                return Err(FailureKind::Refused);
            }
            // Without the header, any status is the answer of the service itself: a plain 503 does not
            // prove that the operation has not run.
            let body = std::str::from_utf8(&reply.body).map_err(|_| FailureKind::Protocol)?;
            Ok(CallReply {
                body: body.into(),
                status: reply.status.as_u16(),
            })
        })
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>> {
        let settings = self.settings;
        Box::pin(async move {
            let reply = classify::exchange(settings, address, Call::get("/v1/load")).await?;
            reply.json().map_err(|_| FailureKind::Protocol)
        })
    }
}
