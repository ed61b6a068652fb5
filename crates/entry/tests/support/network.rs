use super::*;

impl Network {
    pub fn join(&self, instance: &str, handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.handlers.lock().expect("no panic");
        handlers.insert(peer_address(instance), handler);
    }

    pub fn lose(&self, instance: &str) {
        let mut handlers = self.handlers.lock().expect("no panic");
        handlers.remove(&peer_address(instance));
    }

    /// Cuts two instances off from each other.
    pub fn cut(&self, left: &str, right: &str) {
        let pair = [left, right].map(peer_address);
        self.cuts.lock().expect("no panic").push(pair);
    }

    pub fn seen_from(&self, instance: &str) -> Self {
        Self {
            own: Some(peer_address(instance)),
            ..self.clone()
        }
    }

    fn at(&self, address: SocketAddr) -> Result<Arc<dyn PeerHandler>, Error> {
        let cuts = self.cuts.lock().expect("no panic");
        let is_cut = |pair: &[SocketAddr; 2]| {
            pair.contains(&address) && self.own.is_some_and(|own| pair.contains(&own))
        };
        let handlers = self.handlers.lock().expect("no panic");
        let handler = handlers.get(&address).filter(|_| !cuts.iter().any(is_cut));
        handler.cloned().ok_or(Error::Connect {
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
        take: TakeRequest,
    ) -> BoxFuture<'static, Result<TakeAnswer, Error>> {
        self.call(address, move |peer| peer.take_journal(take))
    }
}
