use super::*;

/// Failure that an error of an exchange stands for.
pub(crate) fn failure_kind(error: &wire::Error) -> FailureKind {
    match error {
        wire::Error::BodyTooLong { .. }
        | wire::Error::Json { .. }
        | wire::Error::Malformed { .. } => FailureKind::Protocol,
        wire::Error::Broken { .. } => FailureKind::Broken,
        wire::Error::Closed { .. } | wire::Error::Connect { .. } | wire::Error::Request { .. } => {
            FailureKind::Unreachable
        }
        wire::Error::Silent { .. } => FailureKind::Silent,
    }
}

/// Whether an engine's status says that it ran nothing.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Sends a short request and reads the whole reply.
pub(crate) async fn exchange(
    settings: TargetSettings,
    address: SocketAddr,
    mut call: Call,
) -> Result<Reply, FailureKind> {
    call.connect_limit = Duration::from_millis(settings.connect_limit_ms);
    call.limit = Duration::from_millis(settings.poll_limit_ms);
    call.limit_bytes = settings.reply_bytes;
    let reply = wire::call(address, &call)
        .await
        .map_err(|error| failure_kind(&error))?;
    // A control request is idempotent; 404 and 409 say that it has no effect here.
    match reply.status {
        status if status.is_success() => Ok(reply),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => Err(FailureKind::Refused),
        status if is_refusal(status) => Err(FailureKind::Refused),
        _ => Err(FailureKind::Protocol),
    }
}
