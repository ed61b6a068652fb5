//! Queue of requests that wait for capacity because all engines are full.

use super::*;

/// Longest time between two checks of a waiting request. Requests of other instances also free capacity,
/// and this instance learns of that with a delay.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Requests of one service that wait for capacity.
#[derive(Debug)]
pub(crate) struct WaitQueue {
    /// Wakes the waiting requests when capacity is freed or a request leaves the queue.
    freed: Notify,
    queue: Mutex<Queue>,
}

impl WaitQueue {
    pub(crate) fn new(settings: AdmissionSettings) -> Self {
        Self {
            freed: Notify::new(),
            queue: Mutex::new(Queue::new(settings)),
        }
    }

    /// Records that a request has ended and freed its capacity.
    pub(crate) fn record_completion(&self) {
        self.queue().record_completion(clock::now());
        self.freed.notify_waiters();
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in the queue. Dropping it removes the request, which covers callers that disconnect.
struct QueueEntry<'a> {
    key: QueuedRequestKey,
    wait_queue: &'a WaitQueue,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.wait_queue.queue().remove(self.key);
        self.wait_queue.freed.notify_waiters();
    }
}

/// Chooses a path. While the engines are full, waits as long as capacity is expected in time.
pub(crate) async fn choose(
    router: &Router,
    admitted: &Admitted,
    demand: &Demand,
) -> Result<Path, Refusal> {
    let first_event_limit = admitted.first_event_limit(&router.settings);
    let demand = &Demand {
        first_event_limit_ms: Some(first_event_limit.as_secs_f64() * 1_000.0),
        ..demand.clone()
    };
    let wait_queue = router.wait_queue(&admitted.service);
    let sent = |path: Path| {
        wait_queue
            .queue()
            .record_dispatch(clock::now(), &admitted.account_name());
        Ok(path)
    };
    let is_queue_empty = wait_queue.queue().is_empty();
    if is_queue_empty || admitted.pipeline().is_none() {
        match router.choose(admitted, demand) {
            Err(NoPath::Full) => {}
            Err(reason) => return Err(Refusal::Unavailable(reason)),
            Ok(path) => return sent(path),
        }
    }
    let arrived_at = clock::now();
    let queued_request = admitted.queued_request(&router.settings, arrived_at);
    let key = wait_queue.queue().enqueue(arrived_at, queued_request);
    let waiting = QueueEntry {
        key: key.map_err(Refusal::Full)?,
        wait_queue: &wait_queue,
    };
    loop {
        let freed = wait_queue.freed.notified();
        let decision = wait_queue.queue().decide(clock::now(), waiting.key);
        match decision {
            QueueDecision::Refuse(retry_after) => return Err(Refusal::Full(retry_after)),
            QueueDecision::Try => match router.choose(admitted, demand) {
                Err(NoPath::Full) => {}
                Err(reason) => return Err(Refusal::Unavailable(reason)),
                Ok(path) => {
                    log_wait(admitted, arrived_at);
                    return sent(path);
                }
            },
            QueueDecision::Wait => {}
        }
        let _ = timeout(POLL_INTERVAL, freed).await;
    }
}

fn log_wait(admitted: &Admitted, arrived_at: Duration) {
    let waited = clock::now().saturating_sub(arrived_at);
    metrics::histogram!("forward_room_wait_seconds").record(waited.as_secs_f64());
    tracing::info!(
        request = &*admitted.metadata.id,
        waited_ms = waited.as_millis() as u64,
        "capacity became available"
    );
}
