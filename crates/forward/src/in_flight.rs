use super::*;

/// Counts a request at the targets of its path. Dropping it ends the count, so that a request whose
/// caller disconnects is not counted any longer.
pub(crate) struct InFlight {
    began_at: Duration,
    service: ServiceName,
    path: Path,
    router: Arc<Router>,
}

impl InFlight {
    pub(crate) fn begin(router: &Arc<Router>, service: &ServiceName, path: Path) -> Self {
        router.fleet().add_request(clock::now(), &path);
        Self {
            began_at: clock::now(),
            path,
            router: router.clone(),
            service: service.clone(),
        }
    }

    /// When the attempt began.
    pub(crate) fn began_at(&self) -> Duration {
        self.began_at
    }

    /// Time since the attempt began.
    pub(crate) fn age(&self) -> Duration {
        clock::now().saturating_sub(self.began_at)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn first(&self) -> &Stage {
        self.path.first()
    }

    /// Waits for the head of an answer, and inspects the path meanwhile. Returns none if the request
    /// should be sent again: its path has failed or `resend_after` has passed, and another path is
    /// available.
    pub(crate) async fn wait_for_reply(
        &mut self,
        admitted: &Admitted,
        resend_after: Option<Duration>,
        exchange: impl Future<Output = Result<ReplyStream, wire::Error>>,
    ) -> Option<Result<ReplyStream, wire::Error>> {
        let router = self.router.clone();
        let mut exchange = std::pin::pin!(exchange);
        let mut watchdog = Watchdog::default();
        let sent_at = clock::now();
        loop {
            let limit = admitted.first_probe_delay(&router.settings);
            let limit = limit.max(self.path.first_event_time());
            let limit = watchdog.interval(limit);
            let limit = resend_after.map_or(limit, |resend_after| limit.min(resend_after));
            if let Ok(result) = timeout_while_running(limit, &mut exchange).await {
                return Some(result);
            }
            let silence = clock::now().saturating_sub(sent_at);
            let phase = CrashPhase::BeforeHead;
            let inspection = watchdog
                .inspect(&router, admitted, &self.path, phase, silence)
                .await;
            let should_resend = self.apply(inspection, silence, resend_after);
            if should_resend && resend_after.is_some() && self.is_replaceable(admitted) {
                return None;
            }
        }
    }

    /// Applies the result of an inspection of a silent request. Returns whether the request should be
    /// sent elsewhere: its path has failed, or its stages are healthy but it has been silent for `limit`,
    /// so that its connection may be dead.
    pub(crate) fn apply(
        &mut self,
        inspection: Inspection,
        silence: Duration,
        limit: Option<Duration>,
    ) -> bool {
        match inspection {
            Inspection::Lost => true,
            Inspection::Moved(path) => {
                self.switch_path(path);
                false
            }
            Inspection::Slow => false,
            Inspection::Healthy => limit.is_some_and(|limit| silence >= limit),
        }
    }

    /// Moves the count of the request to another path.
    fn switch_path(&mut self, path: Path) {
        let mut fleet = self.router.fleet();
        fleet.add_request(clock::now(), &path);
        fleet.remove_request(&self.path);
        drop(fleet);
        self.path = path;
    }

    /// Whether a path with another first stage is available.
    fn is_replaceable(&self, admitted: &Admitted) -> bool {
        let mut demand = admitted.demand();
        demand.excluded.push(self.first().key);
        self.router.choose(admitted, &demand).is_ok()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.router.fleet().remove_request(&self.path);
        self.router.wait_queue(&self.service).record_completion();
    }
}
