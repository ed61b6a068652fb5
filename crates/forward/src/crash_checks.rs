//! Whether targets at which requests were interrupted have ended.

use super::*;

/// Time for which a crash that a check found is not checked again for further requests.
const MAX_AGE: Duration = Duration::from_millis(150);

/// Timeout of the connection that tells a crashed target from a broken connection, and of the report of an engine. A
/// target that is running accepts and answers within a few milliseconds.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a target is checked once more that may have been about to end.
const RECHECK_DELAY: Duration = Duration::from_millis(500);

/// Latest check of a target: when it ended, and what it showed. Locked during a check, so that concurrent callers
/// wait for its result.
type LatestCheck = Arc<tokio::sync::Mutex<Option<(Duration, Option<TargetSign>)>>>;

/// Incarnation of a target to which a request was sent.
pub(crate) fn target_run(stage: &Stage) -> TargetRun {
    TargetRun {
        address: stage.address,
        id: stage.id.clone(),
        incarnation: stage.incarnation,
    }
}

/// What the state of an engine, asked for at `asked_at`, shows about the incarnation that is listed.
pub(crate) fn sign_of_state(stage: &Stage, state: &EngineState, asked_at: Duration) -> TargetSign {
    match state.incarnation {
        None => TargetSign::Answered(asked_at),
        Some(_) if stage.incarnation == 0 => TargetSign::Answered(asked_at),
        Some(incarnation) if incarnation == stage.incarnation => TargetSign::Confirmed(asked_at),
        Some(_) => TargetSign::Restarted,
    }
}

/// Checks targets at which requests were interrupted.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    by_target: Mutex<HashMap<TargetKey, LatestCheck>>,
    /// Targets that will be checked once more.
    rechecked: Mutex<HashSet<TargetKey>>,
}

impl CrashChecks {
    /// Checks a target, and records what this shows. A target that may be about to end is checked once more later.
    pub(crate) async fn run(&self, router: &Arc<Router>, target: &Stage, is_engine: bool) {
        self.check(router, target, is_engine).await;
        let run = target_run(target);
        let is_pending = router.prompt_parts.is_pending(&run);
        if !is_pending || !lock(&self.rechecked).insert(target.key) {
            return;
        }
        let (router, target) = (router.clone(), target.clone());
        tokio::spawn(async move {
            tokio::time::sleep(RECHECK_DELAY).await;
            let checks = &router.prompt_parts.checks;
            lock(&checks.rechecked).remove(&target.key);
            if router.prompt_parts.is_pending(&run) {
                checks.check(&router, &target, is_engine).await;
            }
        });
    }

    async fn check(&self, router: &Arc<Router>, target: &Stage, is_engine: bool) {
        let interrupted_at = clock::now();
        let latest = lock(&self.by_target).entry(target.key).or_default().clone();
        let mut latest = latest.lock().await;
        let valid = latest.filter(|(checked_at, sign)| {
            let age = interrupted_at.saturating_sub(*checked_at);
            let has_ended = matches!(
                sign,
                Some(TargetSign::Gone | TargetSign::Replaced | TargetSign::Restarted)
            );
            // A target that was found running before may have crashed since.
            *checked_at >= interrupted_at || (has_ended && age < MAX_AGE)
        });
        let sign = match valid {
            Some((_, sign)) => sign,
            None => {
                let sign = look_up(router, target, is_engine).await;
                *latest = Some((clock::now(), sign));
                sign
            }
        };
        drop(latest);
        if let Some(sign) = sign {
            router.record_sign(&target_run(target), sign);
        }
    }

    /// Removes the checks of targets that are no longer listed.
    pub(crate) fn retain_listed(&self, is_listed: impl Fn(TargetKey) -> bool) {
        lock(&self.by_target).retain(|target, _| is_listed(*target));
    }
}

impl Router {
    /// Whether a target is listed and has not announced that it is leaving.
    pub(crate) fn is_staying(&self, target: &Stage) -> bool {
        self.fleet().is_staying(&target.id, target.incarnation)
    }

    /// Records which targets at which requests were interrupted have ended by the list.
    pub(crate) fn record_listed_ends(&self) {
        let mut pending = self.suspects().pending_targets();
        pending.extend(self.prompt_parts.pending_targets());
        for target in pending {
            let id = (&*target.id, target.incarnation);
            let end = self.fleet().listed_end(id, target.address);
            let sign = match end {
                None => continue,
                Some(ListedEnd::Replaced) => TargetSign::Replaced,
                Some(ListedEnd::Restarted) => TargetSign::Restarted,
                Some(ListedEnd::Unlisted) => TargetSign::Unlisted,
            };
            self.record_sign(&target, sign);
        }
    }

    /// Records a sign of a target. Requests that were interrupted by its end count as crashes, and it gets no further
    /// ones if its address belongs to another incarnation.
    pub(crate) fn record_sign(&self, target: &TargetRun, sign: TargetSign) {
        let now = clock::now();
        if matches!(sign, TargetSign::Replaced | TargetSign::Restarted)
            && self
                .fleet()
                .record_ended(now, &target.id, target.incarnation)
        {
            tracing::info!(
                target = &*target.id,
                incarnation = target.incarnation,
                ?sign,
                "target has ended, although it is listed"
            );
        }
        self.suspects().record_sign(now, target, sign);
        self.prompt_parts.record_sign(now, target, sign);
    }
}

/// Finds out from the list, by a connection and by the report of an engine whether a target has ended. None if this
/// shows nothing: whoever accepts a connection may be another target.
async fn look_up(router: &Router, target: &Stage, is_engine: bool) -> Option<TargetSign> {
    let asked_at = clock::now();
    let id = (&*target.id, target.incarnation);
    let end = router.fleet().listed_end(id, target.address);
    let (sign, result) = match end {
        Some(ListedEnd::Replaced) => (Some(TargetSign::Replaced), "replaced"),
        Some(ListedEnd::Restarted) => (Some(TargetSign::Restarted), "restarted"),
        None | Some(ListedEnd::Unlisted) => {
            match router.open_link(target, CHECK_TIMEOUT).await {
                Err(LinkError::Own(_)) => (None, "own_links"),
                Err(LinkError::Target(_)) => (Some(TargetSign::Gone), "refused"),
                Ok(link) => {
                    // Reports are asked for directly.
                    let has_report = is_engine && link.helper.is_none();
                    router.put_link(target.key, link, router.settings.idle_limit);
                    match has_report {
                        false => (None, "accepted"),
                        true => ask_for_state(router, target, asked_at).await,
                    }
                }
            }
        }
    };
    tracing::info!(
        target = &*target.id,
        incarnation = target.incarnation,
        result,
        "checked whether the target of an interrupted request has ended"
    );
    sign
}

/// Finds out which incarnation of an engine answers.
async fn ask_for_state(
    router: &Router,
    target: &Stage,
    asked_at: Duration,
) -> (Option<TargetSign>, &'static str) {
    let state = router.prober.engines().state(target.address);
    let state = timeout_while_running(CHECK_TIMEOUT, state).await;
    let state = state.ok().and_then(Result::ok);
    match state.map(|state| sign_of_state(target, &state, asked_at)) {
        Some(TargetSign::Restarted) => (Some(TargetSign::Restarted), "restarted"),
        Some(sign @ TargetSign::Confirmed(_)) => (Some(sign), "confirmed"),
        _ => (None, "accepted"),
    }
}
