use super::*;

/// Longest wait for a condition. Generous, because it only bounds a test that fails: the machine
/// may be busy, and the slowest condition waited for (a graceful shutdown) takes about 10 s.
pub const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// Time between looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `look` returns a value, and returns it.
///
/// # Errors
///
/// Returns an error that names the condition and the last fault when the limit is over.
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
            bail!("`{condition}` did not hold within {WAIT_LIMIT:?}{last_error}");
        }
        sleep(POLL_INTERVAL).await;
    }
}
