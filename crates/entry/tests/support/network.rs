use super::*;

impl Network {
    pub fn add(&self, instance: &str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.handlers.lock().expect("no panic");
        handlers.insert(peer_address(instance), handler);
    }

    pub fn remove(&self, instance: &str) {
        let mut handlers = self.handlers.lock().expect("no panic");
        handlers.remove(&peer_address(instance));
    }

    /// Separates two instances from each other.
    pub fn partition(&self, left: &str, right: &str) {
        let pair = [left, right].map(peer_address);
        self.partitions.lock().expect("no panic").push(pair);
    }

    pub fn view_from(&self, instance: &str) -> Self {
        Self {
            own: Some(peer_address(instance)),
            ..self.clone()
        }
    }

    fn handler_at(&self, address: SocketAddr) -> Result<Arc<dyn PeerHandler>, Error> {
        let partitions = self.partitions.lock().expect("no panic");
        let is_partitioned = |pair: &[SocketAddr; 2]| {
            pair.contains(&address) && self.own.is_some_and(|own| pair.contains(&own))
        };
        let handlers = self.handlers.lock().expect("no panic");
        let handler = handlers
            .get(&address)
            .filter(|_| !partitions.iter().any(is_partitioned));
        handler.cloned().ok_or(Error::Connect {
            address,
            message: "unreachable in the fake network".into(),
        })
    }

    fn call<T: Send + 'static>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(Arc<dyn PeerHandler>) -> BoxFuture<'static, T> + Send + 'static,
    ) -> BoxFuture<'static, Result<T, Error>> {
        let handler = self.handler_at(address);
        async move { Ok(call(handler?).await) }.boxed()
    }
}

/// Implements `Peers` by calling the handler at the address.
macro_rules! forward_calls {
    ($($call:ident($($argument:ident: $kind:ty),*) -> $answer:ty;)*) => {
        impl Peers for Network {
            $(fn $call(
                &self,
                address: SocketAddr,
                $($argument: $kind),*
            ) -> BoxFuture<'static, Result<$answer, Error>> {
                self.call(address, move |peer| peer.$call($($argument),*))
            })*
        }
    };
}

forward_calls! {
    append_journal(append: JournalAppend) -> AppendAnswer;
    call_status(query: CallQuery) -> OwnerStatus;
    changes_since(version: u64) -> Changes;
    heartbeat(heartbeat: Heartbeat) -> ();
    leave(instance: InstanceId, incarnation: u64) -> ();
    push_changes(records: Vec<ChangeRecord>) -> ();
    take_journal(take: TakeRequest) -> TakeAnswer;
}
