use super::*;

/// A running stand-in. Dropping it ends it at once.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    lifecycle: Arc<Lifecycle>,
    task: JoinHandle<ExitKind>,
}

/// What a stand-in does besides serving requests.
pub(crate) struct ServerParts {
    /// Completes when the work in progress is finished and no more is expected.
    pub(crate) drained: BoxFuture<'static, ()>,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Row for the platform's list; the platform itself has none.
    pub(crate) registration: Option<Registration>,
}

impl FakeServer {
    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends it at once, as a crash would.
    pub fn crash(&self) {
        self.lifecycle.crash();
    }

    /// Makes it leave: it finishes its work and then ends.
    pub fn leave(&self) {
        self.lifecycle.leave();
    }

    pub(crate) fn lifecycle(&self) -> Arc<Lifecycle> {
        self.lifecycle.clone()
    }

    /// Makes it leave and waits until it has ended.
    pub async fn stop(self) -> ExitKind {
        self.leave();
        self.wait().await
    }

    /// Waits until it has ended.
    pub async fn wait(mut self) -> ExitKind {
        (&mut self.task).await.unwrap_or(ExitKind::Crashed)
    }

    /// Starts to listen and to serve. `parts` receives the address that was bound.
    pub(crate) async fn launch(
        address: SocketAddr,
        limits: Limits,
        parts: impl FnOnce(SocketAddr) -> ServerParts,
    ) -> Result<Self, Error> {
        let listen_error = |error: std::io::Error| Error::Listen {
            address,
            message: error.to_string(),
        };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let parts = parts(address);
        let lifecycle = parts.lifecycle.clone();
        let task = tokio::spawn(run(listener, limits, parts));
        Ok(Self {
            address,
            lifecycle,
            task,
        })
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        // Tasks of streams end on their own when the stand-in has crashed.
        self.lifecycle.crash();
        self.task.abort();
    }
}

async fn run(listener: TcpListener, limits: Limits, parts: ServerParts) -> ExitKind {
    let lifecycle = parts.lifecycle.clone();
    let (stop, stopped) = watch::channel(false);
    let server = wire::serve(listener, parts.handler, limits, stopped);
    let registration = async {
        if let Some(registration) = parts.registration {
            registration.run(&parts.lifecycle).await;
        }
        parts.lifecycle.set_departure_announced();
        std::future::pending::<()>().await;
    };
    let shutdown = async {
        parts.lifecycle.wait_leaving().await;
        parts.lifecycle.wait_departure_announced().await;
        parts.drained.await;
        let _ = stop.send(true);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = lifecycle.wait_crashed() => ExitKind::Crashed,
        () = shutdown => ExitKind::Stopped,
        () = registration => ExitKind::Stopped,
        () = server => ExitKind::Stopped,
    }
}
