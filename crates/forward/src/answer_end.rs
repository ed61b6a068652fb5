//! Whether an answer is complete that ended with its connection.

use super::*;

/// Time limit for the connection that shows whether the target still runs.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks the end of a success whose target has closed the connection. Without a length or chunks, the
/// connection of a target that was killed ends in the same way as that of one that is finished, so that the
/// answer counts as complete only if its target accepts connections.
///
/// # Errors
///
/// Returns an error when the target cannot be reached, so that the answer may have been interrupted.
pub(crate) async fn check(
    router: &Router,
    admitted: &Admitted,
    target: &Stage,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), wire::Error> {
    let has_no_body = status == StatusCode::NO_CONTENT;
    if !status.is_success() || has_no_body || headers::is_framed(headers) {
        return Ok(());
    }
    let limit = LIVENESS_TIMEOUT.min(admitted.time_left());
    match router.open_link(target, limit).await {
        Ok(link) => {
            router.put_link(target.key, link, router.settings.idle_limit);
            Ok(())
        }
        Err(LinkError::Own(error) | LinkError::Target(error)) => {
            tracing::info!(
                request = &*admitted.metadata.id,
                target = &*target.id,
                %error,
                "answer without a length ended, and its target cannot be reached"
            );
            Err(wire::Error::Broken {
                address: target.address,
                message: "the answer has no length and its target has ended".into(),
            })
        }
    }
}
