use super::*;

/// What a call's task is to do.
#[derive(Debug)]
pub(crate) enum CallCommand {
    Answer(CallOutcome),
    Dispatch {
        address: SocketAddr,
        attempt: Attempt,
        target: TargetId,
    },
}

/// What a stream's task is to do.
#[derive(Debug)]
pub(crate) enum StreamCommand {
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
    calls: Mutex<HashMap<RequestId, mpsc::UnboundedSender<CallCommand>>>,
    edits: Mutex<HashMap<OperationId, Vec<oneshot::Sender<EditAnswer>>>>,
    streams: Mutex<HashMap<RequestId, StreamEntry>>,
}

#[derive(Debug)]
struct StreamEntry {
    nonce: Nonce,
    sender: mpsc::UnboundedSender<StreamCommand>,
    taken: oneshot::Sender<()>,
}

/// What a run of a stream waits for.
#[derive(Debug)]
pub(crate) struct StreamInbox {
    pub(crate) commands: mpsc::UnboundedReceiver<StreamCommand>,
    /// Completes when another instance or connection took the stream over. Apart from the steps,
    /// so that a run that waits for a slow caller or peer ends at once.
    pub(crate) taken: oneshot::Receiver<()>,
}

impl Registry {
    pub(crate) fn answer_edit(&self, operation: &OperationId, answer: &EditAnswer) {
        let waiting_senders = lock(&self.edits).remove(operation).unwrap_or_default();
        for sender in waiting_senders {
            let _ = sender.send(answer.clone());
        }
    }

    pub(crate) fn send_to_call(&self, request: &RequestId, command: CallCommand) {
        if let Some(sender) = lock(&self.calls).get(request) {
            let _ = sender.send(command);
        }
    }

    pub(crate) fn unregister_call(&self, request: &RequestId) {
        lock(&self.calls).remove(request);
    }

    /// Forgets a stream, unless another run of it has taken its place.
    pub(crate) fn unregister_stream(&self, request: &RequestId, nonce: &Nonce) {
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

    pub(crate) fn register_call(
        &self,
        request: &RequestId,
    ) -> mpsc::UnboundedReceiver<CallCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.calls).insert(request.clone(), sender);
        receiver
    }

    pub(crate) fn register_edit(&self, operation: &OperationId) -> oneshot::Receiver<EditAnswer> {
        let (sender, receiver) = oneshot::channel();
        let mut edits = lock(&self.edits);
        edits.retain(|_, waiting_senders| waiting_senders.iter().any(|sender| !sender.is_closed()));
        edits.entry(operation.clone()).or_default().push(sender);
        receiver
    }

    pub(crate) fn register_stream(&self, request: &RequestId, nonce: &Nonce) -> StreamInbox {
        let (sender, commands) = mpsc::unbounded_channel();
        let (taken, taken_receiver) = oneshot::channel();
        let entry = StreamEntry {
            nonce: nonce.clone(),
            sender,
            taken,
        };
        lock(&self.streams).insert(request.clone(), entry);
        StreamInbox {
            commands,
            taken: taken_receiver,
        }
    }

    /// Passes a step to the run of a stream; returns false when none is under way.
    pub(crate) fn send_to_stream(&self, request: &RequestId, command: StreamCommand) -> bool {
        let streams = lock(&self.streams);
        let entry = streams.get(request);
        entry.is_some_and(|entry| entry.sender.send(command).is_ok())
    }

    /// Tells the run of a stream that it was taken over. The sender returned is closed when the run
    /// has ended.
    pub(crate) fn take_over(
        &self,
        request: &RequestId,
    ) -> Option<mpsc::UnboundedSender<StreamCommand>> {
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
