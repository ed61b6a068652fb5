use super::*;

/// Timeout of a probe. Engines answer within a few milliseconds unless they are gone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for which the result of a probe is reused, so that many silent streams probe each engine once.
const PROBE_MAX_AGE: Duration = Duration::from_millis(150);
/// Interval between probes of engines that are avoided or slow.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes engines when streams through them are silent.
pub(crate) struct Prober {
    /// When engines were last probed. Locked during a probe, so that concurrent callers wait for its
    /// result instead of probing again.
    probed_at: tokio::sync::Mutex<HashMap<TargetId, Duration>>,
    /// Wakes the probe loop when other instances report that an engine does not answer.
    pub(crate) probe_requested: Notify,
    engines: Arc<dyn Engines>,
}

impl Prober {
    pub(crate) fn new(engines: Arc<dyn Engines>) -> Self {
        Self {
            probed_at: tokio::sync::Mutex::default(),
            probe_requested: Notify::new(),
            engines,
        }
    }

    pub(crate) fn engines(&self) -> &dyn Engines {
        &*self.engines
    }

    /// Probes the stages of a path that have shown no activity since `since`, and records the results.
    pub(crate) async fn probe_path(&self, router: &Router, path: &Path, since: Duration) {
        // Probes are direct, so that none would be answered.
        if router.links.is_cut_off() {
            return;
        }
        let mut probed_at = self.probed_at.lock().await;
        let now = clock::now();
        probed_at.retain(|_, at| now.saturating_sub(*at) < PROBE_MAX_AGE);
        let mut stages = Vec::new();
        {
            let fleet = router.fleet();
            for stage in fleet.inactive_stages(path, since) {
                if !probed_at.contains_key(&stage.id) && !fleet.is_paused(now, &stage.id) {
                    stages.push(stage.clone());
                }
            }
        }
        self.probe_stages(router, &stages).await;
        let now = clock::now();
        for stage in stages {
            probed_at.insert(stage.id, now);
        }
    }

    /// Probes engines and records the results. If none answers, and the links of this instance may be at fault,
    /// no engine is marked as unreachable.
    async fn probe_stages(&self, router: &Router, stages: &[Stage]) {
        let started_at = clock::now();
        let probes = stages.iter().map(|stage| {
            let state = self.engines.state(stage.address);
            timeout_while_running(PROBE_TIMEOUT, state)
        });
        let answers = futures::future::join_all(probes).await;
        let mut silent = Vec::new();
        for (stage, answer) in stages.iter().zip(&answers) {
            if !matches!(answer, Ok(Ok(_) | Err(Error::RetryAfter(_)))) {
                silent.push(stage);
            }
        }
        let is_own_fault =
            silent.len() == stages.len() && is_own_fault(router, started_at, &silent).await;
        let now = clock::now();
        for (stage, answer) in stages.iter().zip(answers) {
            match answer {
                Ok(Ok(state)) => record_state(router, (started_at, now), stage, &state),
                Ok(Err(Error::RetryAfter(wait))) => {
                    target_notices::mark_paused(&mut router.fleet(), now, stage, wait);
                }
                _ if is_own_fault => {}
                _ => record_silence(router, now, stage),
            }
        }
    }
}

/// Records that an engine did not answer a probe.
fn record_silence(router: &Router, now: Duration, stage: &Stage) {
    let mut fleet = router.fleet();
    let is_new = fleet.record_outcome(now, stage.key, Outcome::Unreachable);
    drop(fleet);
    if !is_new {
        return;
    }
    tracing::info!(target = &*stage.id, "engine does not answer and is avoided");
    // A target may be silent for a moment, so that this is no sign against parts, for which one crash is enough.
    let target = crash_checks::target_run(stage);
    router
        .suspects()
        .record_sign(now, &target, TargetSign::Gone);
}

/// Records the state with which an engine answered a probe.
fn record_state(
    router: &Router,
    (asked_at, now): (Duration, Duration),
    stage: &Stage,
    state: &EngineState,
) {
    let sign = crash_checks::sign_of_state(stage, state, asked_at);
    router.record_sign(&crash_checks::target_run(stage), sign);
    // Only answers to requests end a limit: a report may leave it out.
    if let Some(per_s) = state.rate_limit_per_s {
        target_notices::record_rate_limit(&mut router.fleet(), now, stage, Some(per_s));
    }
    if state.is_leaving {
        target_notices::mark_leaving(router, now, stage);
    }
    let slowness = state.slowness;
    let mut fleet = router.fleet();
    let has_changed = fleet.record_state(now, stage.key, state.held, slowness);
    drop(fleet);
    if has_changed {
        tracing::info!(target = &*stage.id, slowness, "engine speed changed");
    }
}

/// Whether the links of this instance are more likely at fault than the engines, none of which answered.
async fn is_own_fault(router: &Router, started_at: Duration, silent: &[&Stage]) -> bool {
    match silent {
        [] => false,
        [_] => !router.is_target_fault(started_at, silent).await,
        _ => {
            router.links.request_check();
            true
        }
    }
}

/// Probe loop: probes engines that are avoided or slow until they are healthy again, and engines that
/// do not answer other instances.
pub async fn probe_engines(router: Arc<Router>) {
    loop {
        let _ = timeout(PROBE_INTERVAL, router.prober.probe_requested.notified()).await;
        let now = clock::now();
        let unhealthy = {
            let fleet = router.fleet();
            let mut unhealthy = fleet.engines_to_probe(now);
            unhealthy.retain(|stage| !fleet.is_paused(now, &stage.id));
            unhealthy
        };
        if !unhealthy.is_empty() && !router.links.is_cut_off() {
            router.prober.probe_stages(&router, &unhealthy).await;
        }
    }
}
