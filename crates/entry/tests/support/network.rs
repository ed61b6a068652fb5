use super::*;

impl Network {
    pub fn join(&self, instance: &str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.0.lock().expect("no panic");
        handlers.insert(peer_address(instance), handler);
    }

    pub fn lose(&self, instance: &str) {
        let mut handlers = self.0.lock().expect("no panic");
        handlers.remove(&peer_address(instance));
    }

    fn at(&self, address: SocketAddr) -> Result<Arc<dyn PeerHandler>, Error> {
        let handlers = self.0.lock().expect("no panic");
        handlers.get(&address).cloned().ok_or(Error::Connect {
            address,
            message: "lost".into(),
        })
    }

    fn call<T: Send + 'static>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(Arc<dyn PeerHandler>) -> BoxFuture<'static, T> + Send + 'static,
    ) -> BoxFuture<'static, Result<T, Error>> {
        let handler = self.at(address);
        async move { Ok(call(handler?).await) }.boxed()
    }
}

impl Peers for Network {
    fn append_journal(
        &self,
        address: SocketAddr,
        append: JournalAppend,
    ) -> BoxFuture<'static, Result<AppendAnswer, Error>> {
        self.call(address, |peer| peer.append_journal(append))
    }

    fn call_status(
        &self,
        address: SocketAddr,
        query: CallQuery,
    ) -> BoxFuture<'static, Result<OwnerStatus, Error>> {
        self.call(address, |peer| peer.call_status(query))
    }

    fn changes_since(
        &self,
        address: SocketAddr,
        version: u64,
    ) -> BoxFuture<'static, Result<Changes, Error>> {
        self.call(address, move |peer| peer.changes_since(version))
    }

    fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, |peer| peer.heartbeat(heartbeat))
    }

    fn leave(
        &self,
        address: SocketAddr,
        instance: InstanceId,
        incarnation: u64,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, move |peer| peer.leave(instance, incarnation))
    }

    fn push_changes(
        &self,
        address: SocketAddr,
        records: Vec<ChangeRecord>,
    ) -> BoxFuture<'static, Result<(), Error>> {
        self.call(address, |peer| peer.push_changes(records))
    }

    fn take_journal(
        &self,
        address: SocketAddr,
        request: RequestId,
        account: AccountId,
        taker: Holder,
        only_idle: bool,
    ) -> BoxFuture<'static, Result<TakeAnswer, Error>> {
        self.call(address, move |peer| {
            peer.take_journal(request, account, taker, only_idle)
        })
    }
}
