use super::*;

/// What was found about a stream that is silent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Inspection {
    /// The stream cannot go on where it is.
    Lost,
    /// The stream goes on along another path.
    Moved(Path),
    /// A stage is slow; the stream goes on where it is.
    Slow,
    /// No stage has failed.
    Healthy,
}

/// Age up to which a sign of activity of an engine, in an event of another stream, spares a question.
const ACTIVITY_AGE: Duration = Duration::from_millis(250);
/// Doublings of the time between inspections at most.
const MAX_DOUBLINGS: u32 = 3;
/// Silence from which a request is moved off slow stages. A move makes other engines read its prompt
/// again, which takes about as long.
const SLOW_LIMIT: Duration = Duration::from_millis(500);

/// Watches one request while it is silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchdog {
    /// Inspections in a row that found nothing.
    healthy_count: u32,
    /// Whether the request was moved because of slow stages. A move makes other engines read the
    /// prompt again, so that more than one for this reason would slow down all requests.
    has_moved_off_slow: bool,
}

impl Watchdog {
    /// Time until the next inspection, where `first` is the time until the first one. Each inspection that
    /// found nothing doubles it: engines that are sound and busy would be asked ever more by those that
    /// wait for them.
    pub(crate) fn interval(&self, first: Duration) -> Duration {
        first.saturating_mul(1 << self.healthy_count.min(MAX_DOUBLINGS))
    }

    /// Notes that an event has arrived.
    pub(crate) fn reset(&mut self) {
        self.healthy_count = 0;
    }

    /// Finds out why a request has been silent for `silence`, and moves it off stages that failed or
    /// are slow.
    pub(crate) async fn inspect(
        &mut self,
        router: &Router,
        admitted: &Admitted,
        path: &Path,
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
            "stream is silent"
        );
        if !is_moved {
            return not_moved;
        }
        self.has_moved_off_slow |= lost.is_empty();
        Inspection::Moved(next)
    }
}

/// Stages that are lost, and those that are slow.
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

/// Another path with the same first stage.
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
    demand.first = Some(first.clone());
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
