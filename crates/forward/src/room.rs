//! The wait for room at engines that are full.

use super::*;

/// Longest time between looks of a request that waits. Requests of other instances, of which it hears
/// late, free room too.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

/// Requests of one service that wait for room.
#[derive(Debug)]
pub(crate) struct Room {
    /// Wakes those who wait when a request has ended.
    freed: Notify,
    queue: Mutex<Queue>,
}

impl Room {
    pub(crate) fn new(settings: AdmissionSettings) -> Self {
        Self {
            freed: Notify::new(),
            queue: Mutex::new(Queue::new(settings)),
        }
    }

    /// Notes that a request has ended.
    pub(crate) fn ended(&self) {
        self.queue().record_completion(clock::now());
        self.freed.notify_waiters();
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in the queue, which it leaves when this is dropped, also when its caller leaves.
struct Waiting<'a> {
    key: QueuedRequestKey,
    room: &'a Room,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.room.queue().remove(self.key);
        self.room.freed.notify_waiters();
    }
}

/// Chooses a path, and waits for room as long as room is expected in time.
pub(crate) async fn choose(
    router: &Router,
    admitted: &Admitted,
    demand: &Demand,
) -> Result<Path, Refusal> {
    let patience = admitted.patience(&router.settings);
    let demand = &Demand {
        first_event_limit_ms: Some(patience.as_secs_f64() * 1_000.0),
        ..demand.clone()
    };
    let room = router.room(&admitted.service);
    let sent = |path: Path| {
        room.queue()
            .record_dispatch(clock::now(), &admitted.account_name());
        Ok(path)
    };
    let is_queue_empty = room.queue().is_empty();
    if is_queue_empty || admitted.pipeline().is_none() {
        match router.choose(admitted, demand) {
            Err(NoPath::Full) => {}
            Err(reason) => return Err(Refusal::NotNow(reason)),
            Ok(path) => return sent(path),
        }
    }
    let arrived_at = clock::now();
    let ticket = admitted.ticket(&router.settings, arrived_at);
    let key = room.queue().enqueue(arrived_at, ticket);
    let waiting = Waiting {
        key: key.map_err(Refusal::Full)?,
        room: &room,
    };
    loop {
        let freed = room.freed.notified();
        let turn = room.queue().decide(clock::now(), waiting.key);
        match turn {
            QueueDecision::Refuse(return_after) => return Err(Refusal::Full(return_after)),
            QueueDecision::Try => match router.choose(admitted, demand) {
                Err(NoPath::Full) => {}
                Err(reason) => return Err(Refusal::NotNow(reason)),
                Ok(path) => {
                    log_wait(admitted, arrived_at);
                    return sent(path);
                }
            },
            QueueDecision::Wait => {}
        }
        let _ = timeout(LOOK_INTERVAL, freed).await;
    }
}

fn log_wait(admitted: &Admitted, arrived_at: Duration) {
    let waited = clock::now().saturating_sub(arrived_at);
    metrics::histogram!("forward_room_wait_seconds").record(waited.as_secs_f64());
    tracing::info!(
        request = &*admitted.facts.id,
        waited_ms = waited.as_millis() as u64,
        "found room"
    );
}
