use super::*;

/// What was found about a stream that is silent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// The stream cannot go on where it is.
    Lost,
    /// The stream goes on along another path.
    Moved(Path),
    /// No stage has failed.
    Sound,
}

/// Finds out why a stream is silent since `since`, and moves it off stages that failed or are slow.
pub(crate) async fn inspect(
    router: &Router,
    admitted: &Admitted,
    path: &Path,
    since: Duration,
) -> Verdict {
    let Some(profile) = admitted.pipeline() else {
        return Verdict::Sound;
    };
    router.probes.ask(router, path, since).await;
    let now = clock::now();
    let mut lost = Vec::new();
    let mut slow = Vec::new();
    {
        let fleet = router.fleet();
        for stage in &path.stages {
            if fleet.is_lost(now, stage) {
                lost.push(stage.clone());
            } else if fleet.is_slow(stage) {
                slow.push(stage.clone());
            }
        }
    }
    if lost.is_empty() && slow.is_empty() {
        return Verdict::Sound;
    }
    let first = path.first();
    let unmoved = if lost.is_empty() { Verdict::Sound } else { Verdict::Lost };
    if lost.iter().any(|stage| stage.key == first.key) {
        return Verdict::Lost;
    }
    let Some(next) = other_path(router, admitted, profile, path, &lost, &slow) else {
        return unmoved;
    };
    let moved = router.probes.engines().repath(&admitted.facts.id, &next).await;
    let is_moved = matches!(moved, Ok(true));
    tracing::info!(
        request = &*admitted.facts.id,
        lost = names(&lost),
        slow = names(&slow),
        is_moved,
        "stream is silent"
    );
    if is_moved { Verdict::Moved(next) } else { unmoved }
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
