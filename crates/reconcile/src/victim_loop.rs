use super::*;

/// Longest time that the queried instance waits for a change before it answers. With the time in which a
/// lost instance is noticed, it stays below the time within which all instances must know of a crash.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Shortest time between two queries, so that many crashes at once cause few of them.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an instance that did not answer is not queried. It may be of an older version.
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// Longest delay while there is no instance to query, unless the tree changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Query for the crash victims that another instance knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VictimQuery {
    /// Digest of the victims that the requester knows.
    pub digest: u64,
    /// Victims that the queried instance may not know; empty if it knows all.
    pub reports: Vec<VictimReport>,
    /// Longest time to wait for a change before answering.
    pub wait: Duration,
}

/// Answer to a `VictimQuery`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VictimAnswer {
    /// Digest of the victims that the responder knows.
    pub digest: u64,
    /// All victims that the responder knows; empty if the requester knows the same.
    pub reports: Vec<VictimReport>,
}

/// Exchanges crash victims with the instance above this one in the tree: changes here are sent at once, and
/// changes there are answered at once. Also removes the victims that have expired.
pub async fn share_crash_victims(
    router: Arc<Router>,
    relay: Arc<dyn Relay>,
    row: InstanceRow,
    shared: Arc<SharedState>,
    leadership: Arc<Mutex<Leadership>>,
) {
    let mut avoided: HashMap<SocketAddr, Duration> = HashMap::new();
    let mut known_there: Option<(SocketAddr, u64)> = None;
    let parts = router.prompt_parts();
    loop {
        let queried_at = clock::now();
        let mut changes = parts.changes();
        let (digest, reports) = parts.reports(queried_at);
        avoided.retain(|_, until| queried_at < *until);
        let change_count = shared.change_count();
        let is_leader = lock(&leadership).fence(queried_at).is_some();
        let Some(source) = source(&row, &shared, &avoided).filter(|_| !is_leader) else {
            shared.wait_for_change(change_count, IDLE_INTERVAL).await;
            continue;
        };
        let is_known_there = known_there == Some((source, digest));
        let query = VictimQuery {
            digest,
            reports: if is_known_there { Vec::new() } else { reports },
            wait: if is_known_there {
                MAX_WAIT
            } else {
                Duration::ZERO
            },
        };
        let answer = tokio::select! {
            answer = relay.exchange_victims(source, query) => Some(answer),
            // The next query reports the change.
            _ = changes.changed(), if is_known_there => None,
        };
        match answer {
            None => {}
            Some(Ok(answer)) => {
                parts.merge(clock::now(), &answer.reports);
                parts.mark_synced();
                known_there = Some((source, answer.digest));
            }
            Some(Err(error)) => {
                tracing::debug!(%source, %error, "crash victims not exchanged");
                avoided.insert(source, clock::now() + AVOID_DURATION);
            }
        }
        sleep((queried_at + MIN_INTERVAL).saturating_sub(clock::now())).await;
    }
}

/// Instance to query; none while no tree is known or all its instances failed to answer.
fn source(
    row: &InstanceRow,
    shared: &SharedState,
    avoided: &HashMap<SocketAddr, Duration>,
) -> Option<SocketAddr> {
    let mut sources = shared.tree()?.sources(row).into_iter();
    sources.find(|source| !avoided.contains_key(source))
}

/// Answers a query of another instance, at once if its victims differ from those that are known here.
pub(crate) async fn answer(router: &Router, query: VictimQuery) -> VictimAnswer {
    let parts = router.prompt_parts();
    let mut changes = parts.changes();
    parts.merge(clock::now(), &query.reports);
    let answered_by = clock::now() + query.wait.min(MAX_WAIT);
    loop {
        let now = clock::now();
        let (digest, reports) = parts.reports(now);
        if digest != query.digest {
            return VictimAnswer { digest, reports };
        }
        parts.mark_synced();
        let left = answered_by.saturating_sub(now);
        if timeout(left, changes.changed()).await.is_err() {
            return VictimAnswer {
                digest,
                reports: Vec::new(),
            };
        }
    }
}
