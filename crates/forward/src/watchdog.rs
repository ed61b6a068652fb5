use super::*;

/// Result of inspecting a silent request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Inspection {
    /// A stage has failed, so that the request cannot continue on its path.
    Lost,
    /// The request was moved and continues along this path.
    Moved(Path),
    /// A stage is slow; the request stays on its path.
    Slow,
    /// No stage has failed or is slow.
    Healthy,
}

/// An engine is not probed if an event of another stream proves activity within this time.
const ACTIVITY_AGE: Duration = Duration::from_millis(250);
/// Maximum number of times that the interval between inspections is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// A request is moved off slow stages after this silence. After a move, other engines must process the
/// prompt again, which takes about as long.
const SLOW_LIMIT: Duration = Duration::from_millis(500);

/// Inspects the path of one request while it is silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchdog {
    /// Number of consecutive inspections that found all stages healthy.
    healthy_count: u32,
    /// Stages that were found lost or silent, for which it was checked whether they have crashed.
    checked: Vec<TargetKey>,
    /// Whether the request was already moved because of slow stages. Happens at most once: each move
    /// makes other engines process the prompt again, and more moves would slow down all requests.
    has_moved_off_slow: bool,
}

impl Watchdog {
    /// Interval until the next inspection, with `first` as the interval until the first one. Doubles after
    /// each inspection that found all stages healthy; otherwise requests that wait for busy engines would
    /// probe them more and more.
    pub(crate) fn interval(&self, first: Duration) -> Duration {
        first.saturating_mul(1 << self.healthy_count.min(MAX_DOUBLINGS))
    }

    /// Resets the interval after an event has arrived.
    pub(crate) fn reset(&mut self) {
        self.healthy_count = 0;
    }

    /// Inspects a request that has been silent for `silence`, and moves it off stages that have failed or
    /// are slow. `phase` is the point that its answer has reached.
    pub(crate) async fn inspect(
        &mut self,
        router: &Arc<Router>,
        admitted: &Admitted,
        path: &Path,
        phase: CrashPhase,
        silence: Duration,
    ) -> Inspection {
        let Some(profile) = admitted.pipeline() else {
            return Inspection::Healthy;
        };
        let since = clock::now().saturating_sub(silence.min(ACTIVITY_AGE));
        router.prober.probe_path(router, path, since).await;
        let (lost, slow) = unhealthy_stages(router, path);
        let not_moved = match (lost.is_empty(), slow.is_empty()) {
            (false, _) => Inspection::Lost,
            (true, false) => Inspection::Slow,
            (true, true) => {
                self.healthy_count += 1;
                return Inspection::Healthy;
            }
        };
        for stage in &lost {
            let phase = match (phase, stage.key == path.first().key) {
                // A later stage may not have begun with the request, so that it takes several crashes.
                (CrashPhase::BeforeFirstEvent, false) => CrashPhase::BeforeHead,
                _ => phase,
            };
            self.record_lost(router, admitted, stage, phase).await;
        }
        if router.prompt_parts.check(clock::now(), admitted).is_err() {
            return not_moved;
        }
        let is_first_lost = lost.iter().any(|stage| stage.key == path.first().key);
        let stays_on_slow = self.has_moved_off_slow || silence < SLOW_LIMIT;
        if is_first_lost || (lost.is_empty() && stays_on_slow) {
            return not_moved;
        }
        let Some(next) = other_path(router, admitted, profile, path, &lost, &slow) else {
            return not_moved;
        };
        let moved = router
            .prober
            .engines()
            .repath(&admitted.metadata.id, &next)
            .await;
        let is_moved = matches!(moved, Ok(true));
        tracing::info!(
            request = &*admitted.metadata.id,
            lost = names(&lost),
            slow = names(&slow),
            is_moved,
            "tried to reroute a silent request"
        );
        if !is_moved {
            return not_moved;
        }
        self.has_moved_off_slow |= lost.is_empty();
        Inspection::Moved(next)
    }

    /// Finds out once of each lost or silent stage whether it has crashed, and records the crash.
    pub(crate) async fn record_lost(
        &mut self,
        router: &Arc<Router>,
        admitted: &Admitted,
        stage: &Stage,
        phase: CrashPhase,
    ) {
        if self.checked.contains(&stage.key) {
            return;
        }
        self.checked.push(stage.key);
        prompt_parts::record_interruption(router, admitted, stage, phase).await;
    }
}

/// Stages that have failed, and stages that are slow.
fn unhealthy_stages(router: &Router, path: &Path) -> (Vec<Stage>, Vec<Stage>) {
    let (mut lost, mut slow) = (Vec::new(), Vec::new());
    let now = clock::now();
    let fleet = router.fleet();
    for stage in &path.stages {
        if fleet.needs_replacement(now, stage) {
            lost.push(stage.clone());
        } else if fleet.is_slow(stage) {
            slow.push(stage.clone());
        }
    }
    (lost, slow)
}

/// Finds another path with the same first stage that avoids the failed and the slow stages.
fn other_path(
    router: &Router,
    admitted: &Admitted,
    profile: &EngineProfile,
    path: &Path,
    lost: &[Stage],
    slow: &[Stage],
) -> Option<Path> {
    let first = path.first();
    let mut demand = admitted.demand();
    demand.pinned_first = Some(first.clone());
    demand.excluded.extend(lost.iter().map(|stage| stage.key));
    let others = slow.iter().filter(|stage| stage.key != first.key);
    demand.excluded.extend(others.map(|stage| stage.key));
    let next = router.choose_with(admitted, profile, &demand).ok()?;
    (next.stages != path.stages).then_some(next)
}

fn names(stages: &[Stage]) -> String {
    let ids: Vec<&str> = stages.iter().map(|stage| &*stage.id).collect();
    ids.join(",")
}
