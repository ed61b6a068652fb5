use super::*;

/// Handler of the messages of other instances.
struct PeerService(Arc<App>);

/// Creates the handler of the messages of other instances.
#[must_use]
pub fn peer_handler(app: Arc<App>) -> Arc<dyn PeerHandler> {
    Arc::new(PeerService(app))
}

impl PeerHandler for PeerService {
    fn append_journal(&self, append: JournalAppend) -> BoxFuture<'static, AppendAnswer> {
        let answer = lock(&self.0.journals).append(self.0.now(), append);
        async move { answer }.boxed()
    }

    fn call_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        self.0.dependencies.control.owner_status(query)
    }

    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes> {
        self.0.dependencies.control.changes_since(version)
    }

    fn heartbeat(&self, heartbeat: Heartbeat) -> BoxFuture<'static, ()> {
        let sender = heartbeat.sender.clone();
        lock(&self.0.heartbeats).insert(sender, heartbeat.clone());
        self.0.report(Event::HeartbeatReceived(heartbeat));
        async {}.boxed()
    }

    /// Reports the last heartbeat of the instance again, marked as leaving.
    fn leave(&self, instance: InstanceId, incarnation: Incarnation) -> BoxFuture<'static, ()> {
        let last = lock(&self.0.heartbeats).get(&instance).cloned();
        if let Some(last) = last.filter(|last| last.incarnation == incarnation) {
            self.0.report(Event::HeartbeatReceived(Heartbeat {
                leaving: true,
                ..last
            }));
        }
        async {}.boxed()
    }

    fn push_changes(&self, records: Vec<ChangeRecord>) -> BoxFuture<'static, ()> {
        self.0.report(Event::ChangesReceived { records });
        async {}.boxed()
    }

    fn take_journal(&self, take: TakeRequest) -> BoxFuture<'static, TakeAnswer> {
        let app = self.0.clone();
        async move { app.hand_over_journal(take).await }.boxed()
    }
}
