//! Time limits for targets that do not run out because this instance did not run.

use {super::*, tokio::time::error::Elapsed};

/// Delay of a timer after which this instance has not run for some time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Time to read what arrived meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Waits for `future`, at most for `limit`. If this instance did not run meanwhile, what arrived in that time is read
/// before the limit counts as reached.
///
/// # Errors
///
/// Returns an error when the limit is reached.
pub(crate) async fn timeout_while_running<F: Future>(
    limit: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = std::pin::pin!(future);
    let ends_at = clock::now().saturating_add(limit);
    let result = timeout(limit, &mut future).await;
    if result.is_ok() || clock::now().saturating_sub(ends_at) < MAX_TIMER_DELAY {
        return result;
    }
    timeout(CATCH_UP_TIME, &mut future).await
}
