use super::*;

/// An attempt of a stream under way.
#[derive(Clone)]
pub(crate) struct RunningAttempt {
    pub(crate) app: Arc<App>,
    /// Number under which the engines know the attempt.
    pub(crate) attempt: Attempt,
    pub(crate) first: TargetId,
    pub(crate) request: RequestId,
    pub(crate) route: Route,
}

impl RunningAttempt {
    /// Changes the importance of the attempt at its engines.
    pub(crate) fn set_priority(&self, priority: Priority) {
        let attempt = self.clone();
        tokio::spawn(async move {
            let messages = attempt.route.stages.iter().map(|stage| {
                let message = PriorityRequest {
                    attempt: attempt.attempt,
                    priority,
                    request: attempt.request.clone(),
                };
                attempt
                    .app
                    .parts
                    .engines
                    .set_priority(stage.address, message)
            });
            // A stage that misses this runs the request with its earlier priority.
            futures::future::join_all(messages).await;
        });
    }

    /// Frees the engines.
    pub(crate) fn stop(self) {
        tokio::spawn(async move {
            let messages = self.route.stages.iter().map(|stage| {
                let message = CancelRequest {
                    attempt: self.attempt,
                    request: self.request.clone(),
                };
                self.app.parts.engines.cancel(stage.address, message)
            });
            // A stage that misses this stops when the connection of the first stage closes.
            futures::future::join_all(messages).await;
        });
    }
}
