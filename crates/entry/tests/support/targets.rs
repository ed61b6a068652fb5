use super::*;

impl Engines for FakeTargets {
    fn cache_events(
        &self,
        _: SocketAddr,
        _: u64,
    ) -> BoxFuture<'static, Result<Vec<CacheEvent>, FailureKind>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn cancel(
        &self,
        _: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        let _ = self.cancels.send(request);
        async { Ok(()) }.boxed()
    }

    fn export_kv(
        &self,
        _: SocketAddr,
        export: KvRequest,
    ) -> BoxFuture<'static, Result<KvCache, FailureKind>> {
        let cache = KvCache {
            data: "cache".into(),
            layers: LayerRange { start: 0, end: 2 },
            model: "m".into(),
            request: export.request.clone(),
            token_count: 5,
        };
        self.exports.lock().expect("no panic").push(export);
        async { Ok(cache) }.boxed()
    }

    fn generate(&self, _: SocketAddr, request: GenerateRequest) -> RecordStream {
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = self.generations.send((request, sender));
        let next = |mut receiver: mpsc::UnboundedReceiver<_>| async move {
            Some((receiver.recv().await?, receiver))
        };
        futures::stream::unfold(receiver, next).boxed()
    }

    fn import_kv(&self, _: SocketAddr, _: KvCache) -> BoxFuture<'static, Result<(), FailureKind>> {
        async { Ok(()) }.boxed()
    }

    fn load(&self, _: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>> {
        async { Ok(LoadReport::default()) }.boxed()
    }

    fn order(&self, _: SocketAddr, _: Order) -> BoxFuture<'static, Result<(), FailureKind>> {
        async { Ok(()) }.boxed()
    }

    fn set_priority(
        &self,
        _: SocketAddr,
        _: PriorityRequest,
    ) -> BoxFuture<'static, Result<(), FailureKind>> {
        async { Ok(()) }.boxed()
    }
}

impl Services for FakeTargets {
    fn call(
        &self,
        _: SocketAddr,
        _: Arc<str>,
        _: Option<Arc<str>>,
        _: Bytes,
    ) -> BoxFuture<'static, Result<CallReply, FailureKind>> {
        let reply = self.replies.lock().expect("no panic").pop();
        async { reply.unwrap_or(Err(FailureKind::Unreachable)) }.boxed()
    }

    fn load(&self, _: SocketAddr) -> BoxFuture<'static, Result<LoadReport, FailureKind>> {
        async { Ok(LoadReport::default()) }.boxed()
    }
}
