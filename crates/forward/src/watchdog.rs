use super::*;

/// What was found about a stream that is silent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// The stream cannot go on where it is.
    Lost,
    /// The stream goes on along another path.
    Moved(Path),
    /// A stage is slow; the stream goes on where it is.
    Slow,
    /// No stage has failed.
    Sound,
}

/// Age up to which a sign of activity of an engine, in an event of another stream, spares a question.
const ACTIVITY_AGE: Duration = Duration::from_millis(250);
/// Doublings of the time between inspections at most.
const MOST_DOUBLINGS: u32 = 3;
/// Silence from which a request is moved off slow stages. A move makes other engines read its prompt
/// again, which takes about as long.
const SLOW_LIMIT: Duration = Duration::from_millis(500);

/// Watches one request while it is silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watchdog {
    /// Inspections in a row that found nothing.
    sound_count: u32,
    /// Whether the request was moved because of slow stages. A move makes other engines read the
    /// prompt again, so that more than one for this reason would slow down all requests.
    has_left_slow: bool,
}

impl Watchdog {
    /// Time until the next inspection, where `first` is the time until the first one. Each inspection that
    /// found nothing doubles it: engines that are sound and busy would be asked ever more by those that
    /// wait for them.
    pub(crate) fn interval(&self, first: Duration) -> Duration {
        first.saturating_mul(1 << self.sound_count.min(MOST_DOUBLINGS))
    }

    /// Notes that an event has arrived.
    pub(crate) fn arrived(&mut self) {
        self.sound_count = 0;
    }

    /// Finds out why a request has been silent for `silence`, and moves it off stages that failed or
    /// are slow.
    pub(crate) async fn inspect(
        &mut self,
        router: &Router,
        admitted: &Admitted,
        path: &Path,
        silence: Duration,
    ) -> Verdict {
        let Some(profile) = admitted.pipeline() else {
            return Verdict::Sound;
        };
        let since = clock::now().saturating_sub(silence.min(ACTIVITY_AGE));
        router.probes.ask(router, path, since).await;
        let (lost, slow) = unhealthy_stages(router, path);
        let unmoved = match (lost.is_empty(), slow.is_empty()) {
            (false, _) => Verdict::Lost,
            (true, false) => Verdict::Slow,
            (true, true) => {
                self.sound_count += 1;
                return Verdict::Sound;
            }
        };
        let is_first_lost = lost.iter().any(|stage| stage.key == path.first().key);
        let stays_with_slow = self.has_left_slow || silence < SLOW_LIMIT;
        if is_first_lost || (lost.is_empty() && stays_with_slow) {
            return unmoved;
        }
        let Some(next) = other_path(router, admitted, profile, path, &lost, &slow) else {
            return unmoved;
        };
        let moved = router
            .probes
            .engines()
            .repath(&admitted.facts.id, &next)
            .await;
        let is_moved = matches!(moved, Ok(true));
        tracing::info!(
            request = &*admitted.facts.id,
            lost = names(&lost),
            slow = names(&slow),
            is_moved,
            "stream is silent"
        );
        if !is_moved {
            return unmoved;
        }
        self.has_left_slow |= lost.is_empty();
        Verdict::Moved(next)
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
