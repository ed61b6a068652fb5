use super::*;

/// Longest time that the queried instance waits for a change before it answers. With the time in which a
/// lost instance is noticed, it stays below the time within which all instances must know of a crash.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Shortest time between two queries, so that many crashes at once cause few of them.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an instance that did not answer is not queried.
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// Time for which an instance that did not answer a `PhasedVictimQuery` is only sent a `VictimQuery`. It may be of an
/// earlier version.
const UNKNOWN_CALL_AVOID_DURATION: Duration = Duration::from_secs(2);
/// Longest delay while there is no instance to query, unless the tree changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Query for the crash victims in the short phase that another instance knows, as earlier versions send it.
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

/// Query for the crash victims that another instance knows. Instances of earlier versions do not know it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PhasedVictimQuery {
    /// Digest of the victims that the requester knows.
    pub digest: u64,
    /// Victims that the queried instance may not know; empty if it knows all.
    pub reports: Vec<PhasedVictimReport>,
    /// Longest time to wait for a change before answering.
    pub wait: Duration,
}

/// Answer to a `PhasedVictimQuery`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PhasedVictimAnswer {
    /// Digest of the victims that the responder knows.
    pub digest: u64,
    /// All victims that the responder knows; empty if the requester knows the same.
    pub reports: Vec<PhasedVictimReport>,
}

/// How crash victims are exchanged with an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Protocol {
    /// All victims.
    Phased,
    /// Those in the short phase, with an instance of an earlier version.
    Short,
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
    let mut avoided: HashMap<(SocketAddr, Protocol), Duration> = HashMap::new();
    let mut known_there: Option<(SocketAddr, Protocol, u64)> = None;
    let parts = router.prompt_parts();
    loop {
        let queried_at = clock::now();
        let mut changes = parts.changes();
        avoided.retain(|_, until| queried_at < *until);
        let change_count = shared.change_count();
        let is_leader = lock(&leadership).fence(queried_at).is_some();
        let source = source(&row, &shared, &avoided).filter(|_| !is_leader);
        let Some((source, protocol)) = source else {
            shared.wait_for_change(change_count, IDLE_INTERVAL).await;
            continue;
        };
        let known = known_there.filter(|known| (known.0, known.1) == (source, protocol));
        let call = Call::new(parts, protocol, known.map(|(_, _, digest)| digest));
        let is_known_there = call.is_empty();
        let answer = tokio::select! {
            answer = call.send(parts, &*relay, source) => Some(answer),
            // The next query reports the change.
            _ = changes.changed(), if is_known_there => None,
        };
        match answer {
            None => {}
            Some(Ok(digest)) => {
                parts.mark_synced();
                known_there = Some((source, protocol, digest));
            }
            Some(Err(error)) => {
                tracing::debug!(%source, ?protocol, %error, "crash victims not exchanged");
                // Without a connection, the other call would fail too.
                let is_silent = matches!(error, Error::Refused(_));
                if protocol == Protocol::Short || is_silent {
                    avoided.insert((source, Protocol::Short), clock::now() + AVOID_DURATION);
                }
                if protocol == Protocol::Phased {
                    let until = clock::now() + UNKNOWN_CALL_AVOID_DURATION;
                    avoided.insert((source, Protocol::Phased), until);
                }
            }
        }
        sleep((queried_at + MIN_INTERVAL).saturating_sub(clock::now())).await;
        if !is_known_there {
            changes.pause().await;
        }
    }
}

/// One query and its answer.
enum Call {
    Phased(PhasedVictimQuery),
    Short(VictimQuery),
}

impl Call {
    /// Creates a query for an instance that reported `known_digest` before. It is empty if that instance knows all
    /// victims that are known here, and then waits for a change.
    fn new(parts: &PromptParts, protocol: Protocol, known_digest: Option<u64>) -> Self {
        let now = clock::now();
        match protocol {
            Protocol::Phased => {
                let (digest, reports) = parts.phased_reports(now);
                let (reports, wait) = reports_to_send(reports, known_digest == Some(digest));
                Self::Phased(PhasedVictimQuery {
                    digest,
                    reports,
                    wait,
                })
            }
            Protocol::Short => {
                let (digest, reports) = parts.reports(now);
                let (reports, wait) = reports_to_send(reports, known_digest == Some(digest));
                Self::Short(VictimQuery {
                    digest,
                    reports,
                    wait,
                })
            }
        }
    }

    /// Whether it only waits for a change.
    fn is_empty(&self) -> bool {
        match self {
            Self::Phased(query) => !query.wait.is_zero(),
            Self::Short(query) => !query.wait.is_zero(),
        }
    }

    /// Sends the query, and merges the answer. Returns the digest of the instance that was queried.
    async fn send(
        self,
        parts: &PromptParts,
        relay: &dyn Relay,
        address: SocketAddr,
    ) -> Result<u64, Error> {
        match self {
            Self::Phased(query) => {
                let answer = relay.exchange_phased_victims(address, query).await?;
                parts.merge_phased(clock::now(), &answer.reports);
                Ok(answer.digest)
            }
            Self::Short(query) => {
                let answer = relay.exchange_victims(address, query).await?;
                parts.merge(clock::now(), &answer.reports);
                Ok(answer.digest)
            }
        }
    }
}

/// Reports that a query contains, and the time for which its answer may wait for a change.
fn reports_to_send<T>(reports: Vec<T>, are_known: bool) -> (Vec<T>, Duration) {
    match are_known {
        true => (Vec::new(), MAX_WAIT),
        false => (reports, Duration::ZERO),
    }
}

/// Instance to query, and how; none while no tree is known or all its instances failed to answer.
fn source(
    row: &InstanceRow,
    shared: &SharedState,
    avoided: &HashMap<(SocketAddr, Protocol), Duration>,
) -> Option<(SocketAddr, Protocol)> {
    for source in shared.tree()?.sources(row) {
        for protocol in [Protocol::Phased, Protocol::Short] {
            if !avoided.contains_key(&(source, protocol)) {
                return Some((source, protocol));
            }
        }
    }
    None
}

/// Answers a query of an instance of an earlier version, at once if its victims differ from those that are known
/// here.
pub(crate) async fn answer(router: &Router, query: VictimQuery) -> VictimAnswer {
    let parts = router.prompt_parts();
    let changes = parts.changes();
    parts.merge(clock::now(), &query.reports);
    let known = || parts.reports(clock::now());
    let (digest, reports) =
        wait_for_difference(parts, changes, query.digest, query.wait, known).await;
    VictimAnswer { digest, reports }
}

/// Answers a query, at once if the victims of the requester differ from those that are known here.
pub(crate) async fn answer_phased(router: &Router, query: PhasedVictimQuery) -> PhasedVictimAnswer {
    let parts = router.prompt_parts();
    let changes = parts.changes();
    parts.merge_phased(clock::now(), &query.reports);
    let known = || parts.phased_reports(clock::now());
    let (digest, reports) =
        wait_for_difference(parts, changes, query.digest, query.wait, known).await;
    PhasedVictimAnswer { digest, reports }
}

/// Waits until the victims that are `known` differ from those of the requester, at most for `wait`. Returns the
/// digest and the reports, which are empty if they do not.
async fn wait_for_difference<T>(
    parts: &PromptParts,
    mut changes: CrashChanges,
    digest_there: u64,
    wait: Duration,
    known: impl Fn() -> (u64, Vec<T>),
) -> (u64, Vec<T>) {
    let answered_by = clock::now() + wait.min(MAX_WAIT);
    loop {
        let (digest, reports) = known();
        if digest != digest_there {
            return (digest, reports);
        }
        parts.mark_synced();
        let left = answered_by.saturating_sub(clock::now());
        if timeout(left, changes.changed()).await.is_err() {
            return (digest, Vec::new());
        }
    }
}
