use super::*;

/// What a call's task is to do.
#[derive(Debug)]
pub(crate) enum CallStep {
    Answer(CallOutcome),
    Dispatch {
        address: SocketAddr,
        attempt: Attempt,
        target: TargetId,
    },
}

/// What a stream's task is to do.
#[derive(Debug)]
pub(crate) enum StreamStep {
    Cancel(Attempt),
    Dispatch {
        attempt: Attempt,
        backup: Option<(InstanceId, SocketAddr)>,
        priority: Priority,
        route: Route,
    },
    MoveCache(CacheMove),
    Refuse(Refusal),
    SetPriority {
        attempt: Attempt,
        priority: Priority,
    },
}

/// Tasks of requests in progress, by the id under which commands name them.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    calls: Mutex<HashMap<RequestId, mpsc::UnboundedSender<CallStep>>>,
    edits: Mutex<HashMap<OperationId, Vec<oneshot::Sender<EditAnswer>>>>,
    streams: Mutex<HashMap<RequestId, StreamEntry>>,
}

#[derive(Debug)]
struct StreamEntry {
    nonce: Nonce,
    sender: mpsc::UnboundedSender<StreamStep>,
    taken: oneshot::Sender<()>,
}

/// What a run of a stream waits for.
#[derive(Debug)]
pub(crate) struct StreamInbox {
    pub(crate) steps: mpsc::UnboundedReceiver<StreamStep>,
    /// Completes when another instance or connection took the stream over. Apart from the steps,
    /// so that a run that waits for a slow caller or peer ends at once.
    pub(crate) taken: oneshot::Receiver<()>,
}

impl Registry {
    pub(crate) fn answer_edit(&self, operation: &OperationId, answer: &EditAnswer) {
        let waiting = lock(&self.edits).remove(operation).unwrap_or_default();
        for sender in waiting {
            let _ = sender.send(answer.clone());
        }
    }

    pub(crate) fn call(&self, request: &RequestId, step: CallStep) {
        if let Some(sender) = lock(&self.calls).get(request) {
            let _ = sender.send(step);
        }
    }

    pub(crate) fn close_call(&self, request: &RequestId) {
        lock(&self.calls).remove(request);
    }

    /// Forgets a stream, unless another run of it has taken its place.
    pub(crate) fn close_stream(&self, request: &RequestId, nonce: &Nonce) {
        let mut streams = lock(&self.streams);
        if streams
            .get(request)
            .is_some_and(|entry| entry.nonce == *nonce)
        {
            streams.remove(request);
        }
    }

    /// Whether a run of the stream is under way.
    pub(crate) fn has_stream(&self, request: &RequestId) -> bool {
        lock(&self.streams).contains_key(request)
    }

    pub(crate) fn open_call(&self, request: &RequestId) -> mpsc::UnboundedReceiver<CallStep> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.calls).insert(request.clone(), sender);
        receiver
    }

    pub(crate) fn open_edit(&self, operation: &OperationId) -> oneshot::Receiver<EditAnswer> {
        let (sender, receiver) = oneshot::channel();
        let mut edits = lock(&self.edits);
        edits.retain(|_, waiting| waiting.iter().any(|sender| !sender.is_closed()));
        edits.entry(operation.clone()).or_default().push(sender);
        receiver
    }

    pub(crate) fn open_stream(&self, request: &RequestId, nonce: &Nonce) -> StreamInbox {
        let (sender, steps) = mpsc::unbounded_channel();
        let (taken, taken_receiver) = oneshot::channel();
        let entry = StreamEntry {
            nonce: nonce.clone(),
            sender,
            taken,
        };
        lock(&self.streams).insert(request.clone(), entry);
        StreamInbox {
            steps,
            taken: taken_receiver,
        }
    }

    /// Passes a step to the run of a stream; returns false when none is under way.
    pub(crate) fn stream(&self, request: &RequestId, step: StreamStep) -> bool {
        let streams = lock(&self.streams);
        let entry = streams.get(request);
        entry.is_some_and(|entry| entry.sender.send(step).is_ok())
    }

    /// Tells the run of a stream that it was taken over. The sender returned is closed when the run
    /// has ended.
    pub(crate) fn take_over(
        &self,
        request: &RequestId,
    ) -> Option<mpsc::UnboundedSender<StreamStep>> {
        let entry = lock(&self.streams).remove(request)?;
        let _ = entry.taken.send(());
        Some(entry.sender)
    }

    /// Requests in progress: calls and streams.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (lock(&self.calls).len(), lock(&self.streams).len())
    }
}

/// Locks a mutex. The data stays consistent when a holder panics, because no holder leaves it half
/// changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
