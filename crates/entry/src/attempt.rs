use super::*;

/// The current attempt of a stream.
#[derive(Clone)]
pub(crate) struct RunningAttempt {
    pub(crate) app: Arc<App>,
    /// Attempt number as the engines count it, over all runs of the stream.
    pub(crate) attempt: Attempt,
    /// Target of the first stage, which streams the records of the attempt.
    pub(crate) first_target: TargetId,
    pub(crate) request: RequestId,
    pub(crate) route: Route,
}

impl RunningAttempt {
    /// Changes the priority of the attempt at its engines.
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
            // Errors are ignored: a stage that does not receive this keeps the earlier priority.
            futures::future::join_all(requests).await;
        });
    }

    /// Cancels the attempt at its engines.
    pub(crate) fn stop(self) {
        tokio::spawn(async move {
            let requests = self.route.stages.iter().map(|stage| {
                let request = CancelRequest {
                    attempt: self.attempt,
                    request: self.request.clone(),
                };
                self.app.dependencies.engines.cancel(stage.address, request)
            });
            // Errors are ignored: a stage that does not receive this stops when the connection to
            // the first stage closes.
            futures::future::join_all(requests).await;
        });
    }
}
