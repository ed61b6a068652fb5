use super::*;

/// A running stand-in. Dropping it ends it at once.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    lifecycle: Arc<Lifecycle>,
    task: JoinHandle<Ending>,
}

/// What a stand-in does besides serving requests.
pub(crate) struct Parts {
    /// Completes when the work in progress is finished and no more is expected.
    pub(crate) drained: BoxFuture<'static, ()>,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) lifecycle: Arc<Lifecycle>,
    /// Row for the platform's list; the platform itself has none.
    pub(crate) registration: Option<Registration>,
}

impl Standin {
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
    pub async fn stop(self) -> Ending {
        self.leave();
        self.wait().await
    }

    /// Waits until it has ended.
    pub async fn wait(mut self) -> Ending {
        (&mut self.task).await.unwrap_or(Ending::Crashed)
    }

    /// Starts to listen and to serve. `parts` receives the address that was bound.
    pub(crate) async fn launch(
        address: SocketAddr,
        limits: Limits,
        parts: impl FnOnce(SocketAddr) -> Parts,
    ) -> Result<Self, Error> {
        let fault = |error: std::io::Error| Error::Listen {
            address,
            message: error.to_string(),
        };
        let listener = TcpListener::bind(address).await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
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

impl Drop for Standin {
    fn drop(&mut self) {
        // Tasks of streams end on their own when the stand-in has crashed.
        self.lifecycle.crash();
        self.task.abort();
    }
}

async fn run(listener: TcpListener, limits: Limits, parts: Parts) -> Ending {
    let lifecycle = parts.lifecycle.clone();
    let (stop, stopped) = watch::channel(false);
    let server = wire::serve(listener, parts.handler, limits, stopped);
    let registration = async {
        if let Some(registration) = parts.registration {
            registration.run(&parts.lifecycle).await;
        }
        parts.lifecycle.announce();
        std::future::pending::<()>().await;
    };
    let departure = async {
        parts.lifecycle.left().await;
        parts.lifecycle.announced().await;
        parts.drained.await;
        let _ = stop.send(true);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = lifecycle.crashed() => Ending::Crashed,
        () = departure => Ending::Stopped,
        () = registration => Ending::Stopped,
        () = server => Ending::Stopped,
    }
}
