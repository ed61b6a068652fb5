use super::*;

/// Maps an error of an exchange to the kind of failure that is reported.
pub(crate) fn failure_kind(error: &wire::Error) -> FailureKind {
    match error {
        wire::Error::BodyTooLong { .. }
        | wire::Error::Json { .. }
        | wire::Error::Malformed { .. } => FailureKind::Protocol,
        wire::Error::Broken { .. } => FailureKind::Broken,
        wire::Error::Closed { .. } | wire::Error::Connect { .. } | wire::Error::Request { .. } => {
            FailureKind::Unreachable
        }
        wire::Error::Timeout { .. } => FailureKind::Silent,
    }
}

/// Whether the status of an engine states that it has not run the request.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Sends a control request and reads the complete reply.
pub(crate) async fn exchange(
    settings: TargetSettings,
    address: SocketAddr,
    mut call: Call,
) -> Result<Reply, FailureKind> {
    call.connect_timeout = Duration::from_millis(settings.connect_limit_ms);
    call.reply_timeout = Duration::from_millis(settings.poll_limit_ms);
    call.max_reply_bytes = settings.reply_bytes;
    let reply = wire::call(address, &call)
        .await
        .map_err(|error| failure_kind(&error))?;
    // Control requests are idempotent; 404 and 409 mean that the request had no effect.
    match reply.status {
        status if status.is_success() => Ok(reply),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => Err(FailureKind::Refused),
        status if is_refusal(status) => Err(FailureKind::Refused),
        _ => Err(FailureKind::Protocol),
    }
}
