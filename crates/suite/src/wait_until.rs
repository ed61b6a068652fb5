use super::*;

/// Timeout of a wait for a condition. It is long because only failing tests reach it: the machine
/// may be busy, and the slowest condition, a graceful shutdown, takes about 10 s.
pub const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `poll` until it returns a value, and returns that value. Errors of `poll` are retried.
///
/// # Errors
///
/// Returns an error with the condition and the last error of `poll` after `WAIT_LIMIT`.
pub async fn wait_until<T>(
    condition: &str,
    mut poll: impl AsyncFnMut() -> Result<Option<T>>,
) -> Result<T> {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        let result = poll().await;
        if let Ok(Some(value)) = result {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            let last_error = match result {
                Err(error) => format!(": {error:#}"),
                Ok(_) => String::new(),
            };
            bail!("timed out after {WAIT_LIMIT:?} waiting for `{condition}`{last_error}");
        }
        sleep(POLL_INTERVAL).await;
    }
}
