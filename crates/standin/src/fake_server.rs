use super::*;

/// Handle of a running fake platform, engine or service. Dropping it crashes the server.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    lifecycle: Arc<Lifecycle>,
    task: JoinHandle<ExitKind>,
}

/// What `FakeServer::launch` needs to run a server.
pub(crate) struct ServerParts {
    /// Completes when all work has finished and no more is expected; awaited during a shutdown.
    pub(crate) drained: BoxFuture<'static, ()>,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Keeps the server in the platform's process list; none for the platform itself.
    pub(crate) registration: Option<Registration>,
}

impl FakeServer {
    /// Address that the server listens on, with the port that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server at once and closes its connections, as a crash would.
    pub fn crash(&self) {
        self.lifecycle.crash();
    }

    /// Starts a graceful shutdown and returns at once: the server reports that it leaves, finishes
    /// its work and then stops.
    pub fn leave(&self) {
        self.lifecycle.leave();
    }

    pub(crate) fn lifecycle(&self) -> Arc<Lifecycle> {
        self.lifecycle.clone()
    }

    /// Shuts the server down gracefully and waits until it has stopped.
    pub async fn stop(self) -> ExitKind {
        self.leave();
        self.wait().await
    }

    /// Waits until the server has stopped or crashed.
    pub async fn wait(mut self) -> ExitKind {
        (&mut self.task).await.unwrap_or(ExitKind::Crashed)
    }

    /// Binds `address` and starts serving. `parts` is called with the address that was bound.
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
        // Aborting the server task does not stop the tasks of open streams; they stop when they
        // see the crash.
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
