use super::*;

/// A request that waits for the head of its answer.
pub(crate) struct Watched {
    pub(crate) in_flight: InFlight,
    pub(crate) path: Path,
}

impl Watched {
    /// Waits for the head, and inspects the path while there is none. Returns none if the request is
    /// better sent again: its path is lost, or `resend_after` is over, and another path is there.
    pub(crate) async fn wait(
        &mut self,
        router: &Arc<Router>,
        admitted: &Admitted,
        resend_after: Option<Duration>,
        exchange: impl Future<Output = Result<ReplyStream, wire::Error>>,
    ) -> Option<Result<ReplyStream, wire::Error>> {
        let mut exchange = std::pin::pin!(exchange);
        let mut watchdog = Watchdog::default();
        let sent_at = clock::now();
        loop {
            let limit = router.settings.start_limit;
            let limit = resend_after.map_or(limit, |resend_after| limit.min(resend_after));
            if let Ok(result) = timeout(limit, &mut exchange).await {
                return Some(result);
            }
            let silence = clock::now().saturating_sub(sent_at);
            let is_lost = match watchdog
                .inspect(router, admitted, &self.path, silence)
                .await
            {
                Verdict::Lost => true,
                Verdict::Moved(path) => {
                    self.in_flight = InFlight::begin(router, &path);
                    self.path = path;
                    false
                }
                Verdict::Slow => false,
                Verdict::Sound => resend_after.is_some_and(|limit| silence >= limit),
            };
            if is_lost && resend_after.is_some() && self.is_replaceable(router, admitted) {
                return None;
            }
        }
    }

    /// Whether there is a path with another first stage.
    fn is_replaceable(&self, router: &Router, admitted: &Admitted) -> bool {
        let mut demand = admitted.demand();
        demand.excluded.push(self.path.first().key);
        router.choose(admitted, &demand).is_ok()
    }
}
