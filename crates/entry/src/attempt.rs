use super::*;

/// An attempt of a stream under way.
#[derive(Clone)]
pub(crate) struct RunningAttempt {
    pub(crate) app: Arc<App>,
    /// Number under which the engines know the attempt.
    pub(crate) attempt: Attempt,
    pub(crate) first_target: TargetId,
    pub(crate) request: RequestId,
    pub(crate) route: Route,
}

impl RunningAttempt {
    /// Changes the importance of the attempt at its engines.
    pub(crate) fn set_priority(&self, priority: Priority) {
        let attempt = self.clone();
        tokio::spawn(async move {
            let requests = attempt.route.stages.iter().map(|stage| {
                let request = PriorityRequest {
                    attempt: attempt.attempt,
                    priority,
                    request: attempt.request.clone(),
                };
                attempt
                    .app
                    .dependencies
                    .engines
                    .set_priority(stage.address, request)
            });
            // A stage that misses this runs the request with its earlier priority.
            futures::future::join_all(requests).await;
        });
    }

    /// Frees the engines.
    pub(crate) fn stop(self) {
        tokio::spawn(async move {
            let requests = self.route.stages.iter().map(|stage| {
                let request = CancelRequest {
                    attempt: self.attempt,
                    request: self.request.clone(),
                };
                self.app.dependencies.engines.cancel(stage.address, request)
            });
            // A stage that misses this stops when the connection of the first stage closes.
            futures::future::join_all(requests).await;
        });
    }
}
