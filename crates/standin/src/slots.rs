use super::*;

/// Sort key of a waiting request: higher priority first, then earlier arrival.
type QueueKey = (Reverse<Priority>, u64);

/// Slots of a continuous batch, assigned to waiting requests by priority.
#[derive(Debug)]
pub(crate) struct Slots {
    slot_count: u32,
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    load: LoadHistory,
    next_arrival: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
}

/// A slot in use. Dropping it passes it to the first waiting request.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Slots>);

/// Entry of the queue. Dropping it removes it.
struct QueueEntry {
    slots: Arc<Slots>,
    queue_key: QueueKey,
}

impl Slots {
    pub(crate) fn new(slot_count: u32, lag: Duration) -> Arc<Self> {
        Arc::new(Self {
            slot_count,
            state: Mutex::new(SlotState {
                load: LoadHistory::new(lag),
                next_arrival: 0,
                waiting: BTreeMap::new(),
            }),
        })
    }

    /// Waits for a slot. Cancel safe: dropping the future leaves the queue.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: Priority) -> Slot {
        let (sender, receiver) = oneshot::channel();
        let waiting = {
            let mut state = lock(&self.state);
            let mut level = state.load.level();
            if level.running_count < self.slot_count {
                level.running_count += 1;
                state.load.set(Instant::now(), level);
                return Slot(self.clone());
            }
            let queue_key = (Reverse(priority), state.next_arrival);
            state.next_arrival += 1;
            state.waiting.insert(queue_key, sender);
            state.update_waiting();
            QueueEntry {
                slots: self.clone(),
                queue_key,
            }
        };
        let slot = receiver.await;
        drop(waiting);
        match slot {
            Err(_) => std::future::pending().await,
            Ok(slot) => slot,
        }
    }

    /// Whether a request of higher priority is waiting.
    pub(crate) fn has_waiting_above(&self, priority: Priority) -> bool {
        let state = lock(&self.state);
        let first = state.waiting.keys().next();
        first.is_some_and(|(Reverse(waiting), _)| *waiting > priority)
    }

    pub(crate) fn level(&self) -> LoadLevel {
        lock(&self.state).load.level()
    }

    pub(crate) fn reported(&self, now: Instant) -> LoadLevel {
        lock(&self.state).load.reported(now)
    }

    fn release_to_next(&self) -> Option<oneshot::Sender<Slot>> {
        let mut state = lock(&self.state);
        let next = state.waiting.pop_first().map(|(_, sender)| sender);
        if next.is_none() {
            let mut level = state.load.level();
            level.running_count -= 1;
            state.load.set(Instant::now(), level);
        }
        state.update_waiting();
        next
    }
}

impl SlotState {
    fn update_waiting(&mut self) {
        let mut level = self.load.level();
        level.waiting_count = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.load.set(Instant::now(), level);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // If the receiver is gone, the send returns the new slot, and dropping that one passes it
        // to the next waiting request.
        if let Some(sender) = self.0.release_to_next() {
            let _ = sender.send(Slot(self.0.clone()));
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        state.waiting.remove(&self.queue_key);
        state.update_waiting();
    }
}
