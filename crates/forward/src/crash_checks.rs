use super::*;

/// Time for which a crash that a check found is not checked again for further requests.
const MAX_AGE: Duration = Duration::from_millis(150);

/// Timeout of the connection that tells a crashed target from a broken connection. A target that is running accepts
/// it within a few milliseconds.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of a check.
#[derive(Clone, Copy, Debug)]
struct Check {
    checked_at: Duration,
    has_crashed: bool,
}

/// Latest check of a target. Locked during a check, so that concurrent callers wait for its result.
type LatestCheck = Arc<tokio::sync::Mutex<Option<Check>>>;

/// Finds out whether targets have crashed, by opening a connection.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    by_target: Mutex<HashMap<TargetKey, LatestCheck>>,
}

impl CrashChecks {
    /// Whether a target that interrupted a request accepts no connection. Without a result, for want of own links, it
    /// has not crashed.
    pub(crate) async fn has_crashed(&self, router: &Router, target: &Stage) -> bool {
        let interrupted_at = clock::now();
        let latest = lock(&self.by_target).entry(target.key).or_default().clone();
        let mut latest = latest.lock().await;
        let valid = latest.filter(|check| {
            let age = interrupted_at.saturating_sub(check.checked_at);
            // A target that was found running before may have crashed since.
            check.checked_at >= interrupted_at || (check.has_crashed && age < MAX_AGE)
        });
        if let Some(check) = valid {
            return check.has_crashed;
        }
        let (has_crashed, result) = match router.open_link(target, CHECK_TIMEOUT).await {
            Ok(link) => {
                router.put_link(target.key, link, router.settings.idle_limit);
                (false, "accepted")
            }
            Err(LinkError::Own(_)) => (false, "own_links"),
            Err(LinkError::Target(_)) => (true, "refused"),
        };
        tracing::info!(
            target = &*target.id,
            incarnation = target.incarnation,
            result,
            "checked whether the target of an interrupted request has ended"
        );
        *latest = Some(Check {
            checked_at: clock::now(),
            has_crashed,
        });
        has_crashed
    }

    /// Removes the checks of targets that are no longer listed.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(TargetKey) -> bool) {
        lock(&self.by_target).retain(|target, _| is_listed(*target));
    }
}
