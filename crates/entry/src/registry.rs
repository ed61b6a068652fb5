use super::*;

/// Command of the node for the task of a call.
#[derive(Debug)]
pub(crate) enum CallCommand {
    Answer(CallOutcome),
    Dispatch {
        address: SocketAddr,
        attempt: Attempt,
        target: TargetId,
    },
}

/// Command of the node for the run of a stream.
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

/// Channels to the tasks of the requests in progress, by the id that commands refer to.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    calls: Mutex<HashMap<RequestId, mpsc::UnboundedSender<CallCommand>>>,
    edits: Mutex<HashMap<OperationId, Vec<oneshot::Sender<EditAnswer>>>>,
    streams: Mutex<HashMap<RequestId, StreamEntry>>,
}

/// Sending ends of the channels to the run of a stream.
#[derive(Debug)]
struct StreamEntry {
    /// Distinguishes the runs of the same stream on this instance.
    nonce: Nonce,
    sender: mpsc::UnboundedSender<StreamCommand>,
    taken: oneshot::Sender<()>,
}

/// Receiving ends of the channels to the run of a stream.
#[derive(Debug)]
pub(crate) struct StreamInbox {
    pub(crate) commands: mpsc::UnboundedReceiver<StreamCommand>,
    /// Completes when another instance or connection has taken the stream over. Separate from
    /// `commands`, so that even a run that waits for a slow caller or peer ends immediately.
    pub(crate) taken: oneshot::Receiver<()>,
}

impl Registry {
    /// Answers all requests that wait for the result of an edit.
    pub(crate) fn answer_edit(&self, operation: &OperationId, answer: &EditAnswer) {
        let waiting_senders = lock(&self.edits).remove(operation).unwrap_or_default();
        for sender in waiting_senders {
            let _ = sender.send(answer.clone());
        }
    }

    /// Passes a command to the task of a call, if it is running.
    pub(crate) fn send_to_call(&self, request: &RequestId, command: CallCommand) {
        if let Some(sender) = lock(&self.calls).get(request) {
            let _ = sender.send(command);
        }
    }

    pub(crate) fn unregister_call(&self, request: &RequestId) {
        lock(&self.calls).remove(request);
    }

    /// Removes the run of a stream, unless another run of the stream has replaced it.
    pub(crate) fn unregister_stream(&self, request: &RequestId, nonce: &Nonce) {
        let mut streams = lock(&self.streams);
        if streams
            .get(request)
            .is_some_and(|entry| entry.nonce == *nonce)
        {
            streams.remove(request);
        }
    }

    /// Whether a run of the stream is active on this instance.
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

    /// Adds a request that waits for the result of an edit, and removes edits without any.
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

    /// Passes a command to the run of a stream. Returns false if no run is active.
    pub(crate) fn send_to_stream(&self, request: &RequestId, command: StreamCommand) -> bool {
        let streams = lock(&self.streams);
        let entry = streams.get(request);
        entry.is_some_and(|entry| entry.sender.send(command).is_ok())
    }

    /// Removes the run of a stream and notifies it that the stream was taken over. The returned
    /// sender is closed once the run has ended.
    pub(crate) fn take_over(
        &self,
        request: &RequestId,
    ) -> Option<mpsc::UnboundedSender<StreamCommand>> {
        let entry = lock(&self.streams).remove(request)?;
        let _ = entry.taken.send(());
        Some(entry.sender)
    }

    /// Returns the numbers of calls and of streams in progress.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let call_count = lock(&self.calls).len();
        (call_count, lock(&self.streams).len())
    }
}

/// Locks a mutex and ignores poisoning: no code leaves the data inconsistent if it panics while it
/// holds the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
