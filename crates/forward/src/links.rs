//! Connections to targets: direct ones, and those through other instances while this one is cut off.

use {
    super::*,
    futures::future::{Either, select},
};

/// Time after which a connection that is not open yet is also tried through another instance. Targets accept
/// connections within a few milliseconds.
const DETOUR_DELAY: Duration = Duration::from_millis(100);
/// Time limit for the answer of another instance that connects to a target.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a connection to a target that this instance opens for another one.
const ASSIST_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of instances that are asked for one connection.
const MAX_HELPERS: usize = 3;
/// Time limit of a connection that only shows whether the links of this instance work.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of targets whose connections must all fail before the links are taken to be cut.
const CHECK_TARGET_COUNT: usize = 3;
/// Interval between checks while this instance is cut off, and minimum time between others.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Connection to a target.
pub(crate) struct Link {
    pub(crate) connection: Connection,
    /// Instance through which it leads; none if it is direct.
    pub(crate) helper: Option<Instance>,
}

/// Byte stream to a target, and the instance through which it leads; none if it is direct.
type OpenedStream = (BoxedStream, Option<Instance>);

/// Why no connection to a target could be opened.
#[derive(Debug)]
pub(crate) enum LinkError {
    /// Neither this instance nor another one that reaches other targets can connect to it.
    Target(wire::Error),
    /// This instance has lost its links, so that nothing is known about the target.
    Own(wire::Error),
}

/// What is needed to open connections to targets.
pub(crate) struct Links {
    check_requested: Notify,
    connector: Arc<dyn Connector>,
    helpers: Mutex<Helpers>,
    /// Header with the id of a request, which targets repeat in its answer.
    id_header: HeaderName,
    reach: Mutex<DirectReach>,
    tunnels: OnceLock<Arc<dyn Tunnels>>,
}

impl Links {
    pub(crate) fn new(connector: Arc<dyn Connector>, id_header: HeaderName) -> Self {
        Self {
            check_requested: Notify::new(),
            connector,
            helpers: Mutex::default(),
            id_header,
            reach: Mutex::default(),
            tunnels: OnceLock::new(),
        }
    }

    /// Whether this instance reaches no target directly, although others do.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off()
    }

    /// Asks for a check of the links, because a failure may be the fault of this instance.
    pub(crate) fn request_check(&self) {
        self.check_requested.notify_one();
    }

    fn reach(&self) -> MutexGuard<'_, DirectReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self, stage: &Stage, limit: Duration) -> Result<BoxedStream, wire::Error> {
        metrics::counter!("forward_connections_total").increment(1);
        self.connector.connect(stage.address, limit).await
    }
}

impl Router {
    /// Sets the access to targets through other instances. Has no effect if it is set already.
    pub fn set_tunnels(&self, tunnels: Arc<dyn Tunnels>) {
        let _ = self.links.tunnels.set(tunnels);
    }

    /// Returns an idle connection to a target that has not carried the request before, or opens a new one.
    pub(crate) async fn take_link(
        &self,
        stage: &Stage,
        request: &RequestId,
        limit: Duration,
    ) -> Result<Link, LinkError> {
        if !self.links.reach().doubts_open_connections()
            && let Some(connection) = self.pool.take_idle(stage, request)
        {
            return Ok(Link {
                connection,
                helper: None,
            });
        }
        self.open_link(stage, limit).await
    }

    /// Keeps a connection for further requests, unless it leads through another instance or this one is cut
    /// off, so that it may never answer again.
    pub(crate) fn put_link(&self, target: TargetKey, link: Link, idle_limit: Duration) {
        if link.helper.is_none() && !self.links.is_cut_off() {
            self.pool.put(target, link.connection, idle_limit);
        }
    }

    /// Opens a new connection to a target, through another instance if this one does not reach it.
    pub(crate) async fn open_link(
        &self,
        stage: &Stage,
        limit: Duration,
    ) -> Result<Link, LinkError> {
        let (stream, helper) = self.open_stream(stage, limit).await?;
        let id_header = self.links.id_header.clone();
        let connection = Connection::with_echo(stage.address, stream, id_header).await;
        Ok(Link {
            connection: connection.map_err(LinkError::Target)?,
            helper,
        })
    }

    async fn open_stream(&self, stage: &Stage, limit: Duration) -> Result<OpenedStream, LinkError> {
        if self.links.is_cut_off() {
            return self.open_behind_cut(stage, limit).await;
        }
        let mut direct = std::pin::pin!(self.links.connect(stage, limit));
        let tunnel = std::pin::pin!(self.open_tunnel(stage));
        match timeout(DETOUR_DELAY.min(limit), &mut direct).await {
            Ok(Ok(stream)) => return Ok(self.opened_directly(stream)),
            Ok(Err(failure)) => return self.opened_around(stage, failure, tunnel.await),
            Err(_) => {}
        }
        match select(direct, tunnel).await {
            Either::Left((Ok(stream), _)) => Ok(self.opened_directly(stream)),
            Either::Left((Err(failure), tunnel)) => {
                self.opened_around(stage, failure, tunnel.await)
            }
            Either::Right((Ok(opened), _)) => {
                self.record_detour(stage);
                Ok(opened)
            }
            Either::Right((Err(error), direct)) => match direct.await {
                Ok(stream) => Ok(self.opened_directly(stream)),
                Err(failure) => self.opened_around(stage, failure, Err(error)),
            },
        }
    }

    /// Opens a stream through another instance, or directly if none helps.
    async fn open_behind_cut(
        &self,
        stage: &Stage,
        limit: Duration,
    ) -> Result<OpenedStream, LinkError> {
        match self.open_tunnel(stage).await {
            Ok(opened) => Ok(opened),
            Err(Some(error @ TunnelError::Unreachable)) => {
                Err(LinkError::Target(wire::Error::Connect {
                    address: stage.address,
                    message: error.to_string(),
                }))
            }
            Err(_) => {
                let direct = self.links.connect(stage, limit).await;
                Ok(self.opened_directly(direct.map_err(LinkError::Own)?))
            }
        }
    }

    fn opened_directly(&self, stream: BoxedStream) -> OpenedStream {
        self.record_direct_success();
        (stream, None)
    }

    /// Result of a connection that failed directly, and of the attempt through other instances.
    fn opened_around(
        &self,
        stage: &Stage,
        failure: wire::Error,
        tunnel: Result<OpenedStream, Option<TunnelError>>,
    ) -> Result<OpenedStream, LinkError> {
        let is_target_fault = match tunnel {
            Ok(opened) => {
                self.record_detour(stage);
                return Ok(opened);
            }
            Err(None | Some(TunnelError::Unreachable)) => true,
            Err(Some(_)) => self.links.reach().blames_target(clock::now()),
        };
        if is_target_fault {
            return Err(LinkError::Target(failure));
        }
        self.links.request_check();
        Err(LinkError::Own(failure))
    }

    /// Opens a stream to a target through another instance. Returns the last reason if none did it; none if
    /// there is no other instance.
    async fn open_tunnel(&self, stage: &Stage) -> Result<OpenedStream, Option<TunnelError>> {
        let tunnels = self.links.tunnels.get().ok_or(None)?;
        let mut instances = self.instances();
        instances.retain(|instance| instance.id != self.settings.instance_id);
        let ids: Vec<Arc<str>> = instances.iter().map(|one| one.id.clone()).collect();
        let mut last = (!ids.is_empty()).then_some(TunnelError::NoAnswer);
        for _ in 0..MAX_HELPERS {
            let Some(helper) = self.choose_helper(&ids) else {
                return Err(last);
            };
            let Some(instance) = instances.iter().find(|one| one.id == helper) else {
                return Err(last);
            };
            let query = TunnelQuery::new(stage);
            let opened = timeout(TUNNEL_TIMEOUT, tunnels.open(instance, query)).await;
            let error = match opened.unwrap_or(Err(TunnelError::NoAnswer)) {
                Ok(stream) => {
                    metrics::counter!("forward_tunnels_total").increment(1);
                    return Ok((stream, Some(instance.clone())));
                }
                Err(error) => error,
            };
            last = Some(error);
            match error {
                TunnelError::Unreachable => return Err(last),
                TunnelError::Declined => {}
                TunnelError::CutOff | TunnelError::NoAnswer => {
                    let mut helpers = self.helpers();
                    helpers.record_failure(clock::now(), helper);
                }
            }
        }
        Err(last)
    }

    fn choose_helper(&self, ids: &[Arc<str>]) -> Option<Arc<str>> {
        self.with_rng(|rng| self.helpers().choose(clock::now(), ids, rng).cloned())
    }

    fn helpers(&self) -> MutexGuard<'_, Helpers> {
        let helpers = &self.links.helpers;
        helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to a target for another instance that does not reach it.
    ///
    /// # Errors
    ///
    /// Returns the reason for which no connection is opened.
    pub async fn connect_for_peer(&self, query: &TunnelQuery) -> Result<BoxedStream, TunnelError> {
        if self.links.is_cut_off() {
            return Err(TunnelError::CutOff);
        }
        let id = (&*query.target, query.incarnation);
        let is_accepted = self
            .fleet()
            .accepts_connections(clock::now(), id, query.address);
        if self.is_leaving() || !is_accepted {
            return Err(TunnelError::Declined);
        }
        let connector = &self.links.connector;
        match connector.connect(query.address, ASSIST_TIMEOUT).await {
            Ok(stream) => {
                self.record_direct_success();
                Ok(stream)
            }
            Err(_) if self.links.reach().blames_target(clock::now()) => {
                Err(TunnelError::Unreachable)
            }
            Err(_) => {
                self.links.request_check();
                Err(TunnelError::CutOff)
            }
        }
    }

    /// Reports a pause that a target asked for to the instance through which its answer came.
    pub(crate) fn report_pause(&self, link: &Link, stage: &Stage, wait: Duration) {
        let (Some(helper), Some(tunnels)) = (link.helper.clone(), self.links.tunnels.get()) else {
            return;
        };
        let (tunnels, query) = (tunnels.clone(), TunnelQuery::new(stage));
        tokio::spawn(async move { tunnels.report_pause(&helper, query, wait).await });
    }

    /// Records a pause that a target asked for in an answer to another instance, which was connected through
    /// this one.
    pub fn record_peer_pause(&self, query: &TunnelQuery, wait: Duration) {
        let mut fleet = self.fleet();
        let key = fleet.key_of(&query.target, query.incarnation);
        if let Some(stage) = key.map(|key| fleet.stage(key, None)) {
            target_notices::mark_paused(&mut fleet, clock::now(), &stage, wait);
        }
    }

    /// Whether a target that did not answer since `since` is at fault, rather than the links of this instance.
    pub(crate) async fn is_target_fault(&self, since: Duration, targets: &[&Stage]) -> bool {
        if self.links.is_cut_off() {
            return false;
        }
        if self.links.reach().has_succeeded_since(since) {
            return true;
        }
        let excluded: Vec<TargetKey> = targets.iter().map(|stage| stage.key).collect();
        let others = self.targets_to_check(&excluded);
        if others.is_empty() || self.reaches_any(&others).await {
            return true;
        }
        self.links.request_check();
        false
    }

    /// Connects to targets directly until one answers.
    async fn reaches_any(&self, targets: &[Stage]) -> bool {
        let (first, rest) = match targets.split_first() {
            None => return false,
            Some(split) => split,
        };
        if self.links.connect(first, CHECK_TIMEOUT).await.is_ok() {
            self.record_direct_success();
            return true;
        }
        let connects = rest.iter();
        let connects = connects.map(|stage| self.links.connect(stage, CHECK_TIMEOUT));
        let is_reached = futures::future::join_all(connects)
            .await
            .iter()
            .any(Result::is_ok);
        if is_reached {
            self.record_direct_success();
        }
        is_reached
    }

    fn targets_to_check(&self, excluded: &[TargetKey]) -> Vec<Stage> {
        self.with_rng(|rng| self.fleet().sample(excluded, CHECK_TARGET_COUNT, rng))
    }

    /// Finds out whether this instance reaches any target directly, and otherwise whether others do.
    async fn check_links(&self) {
        let targets = self.targets_to_check(&[]);
        if self.reaches_any(&targets).await || self.links.is_cut_off() {
            return;
        }
        for target in &targets {
            if self.open_tunnel(target).await.is_ok() {
                self.record_detour(target);
            }
        }
    }

    fn record_direct_success(&self) {
        if self.links.reach().record_success(clock::now()) {
            tracing::info!("targets are reachable directly again");
            self.fleet().reset_health();
        }
    }

    /// Records that only another instance reached a target.
    fn record_detour(&self, stage: &Stage) {
        if !self.links.reach().record_detour(stage.id.clone()) {
            self.links.request_check();
            return;
        }
        metrics::counter!("forward_cuts_total").increment(1);
        tracing::warn!(
            target = &*stage.id,
            "no target is reachable directly, using connections through other instances"
        );
        // Open connections may never answer, and earlier failures say nothing about the targets.
        self.pool.retain_listed(|_| false);
        self.fleet().reset_health();
        self.suspects().forget_interruptions();
        self.prompt_parts.forget_interruptions();
    }
}

/// Check loop: finds out whether this instance is cut off from all targets when failures suggest it, and when
/// this ends.
pub async fn check_links(router: Arc<Router>) {
    loop {
        if router.links.is_cut_off() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        } else {
            router.links.check_requested.notified().await;
        }
        router.check_links().await;
        if !router.links.is_cut_off() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
