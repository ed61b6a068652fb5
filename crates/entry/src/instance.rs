use super::*;

/// How far an instance is asked to stop.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Shutdown {
    /// Not at all.
    #[default]
    None,
    /// After the work in progress and the life of address answers.
    Graceful,
    /// At once.
    Immediate,
}

/// An instance that listens.
#[derive(Debug)]
pub struct Running {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    app: Arc<App>,
    task: JoinHandle<()>,
}

impl Running {
    /// Waits until the instance has stopped.
    pub async fn ended(self) {
        let _ = self.task.await;
    }

    /// Shared state of the instance.
    #[must_use]
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }
}

/// Starts an instance on the current runtime, which moves its bytes; decisions get a thread of
/// their own.
///
/// # Errors
///
/// Returns an error when an address cannot be listened on or the settings lack a platform.
pub async fn start(
    settings: Settings,
    shutdown: watch::Receiver<Shutdown>,
) -> Result<Running, Error> {
    let callers = listen(settings.address, "address").await?;
    let peers = listen(settings.peer_address, "peer_address").await?;
    let identity = identity(
        &settings,
        local(&callers, "address")?,
        local(&peers, "peer_address")?,
    );
    let (commands, received) = mpsc::unbounded_channel();
    let parts = connect(&settings, &identity, commands)?;
    let (address, peer_address) = (identity.address, identity.peer_address);
    let app = App::new(settings, identity, parts);
    tracing::info!(instance = &*app.identity.instance, %address, %peer_address, "listening");
    let task = tokio::spawn(serve(app.clone(), callers, peers, received, shutdown));
    Ok(Running {
        address,
        app,
        peer_address,
        task,
    })
}

/// Runs an instance until it is asked to stop. `listening` is called once with its addresses.
///
/// # Errors
///
/// Returns the errors of `start`.
pub async fn run(
    settings: Settings,
    shutdown: watch::Receiver<Shutdown>,
    listening: impl FnOnce(SocketAddr, SocketAddr),
) -> Result<(), Error> {
    let running = start(settings, shutdown).await?;
    listening(running.address, running.peer_address);
    running.ended().await;
    Ok(())
}

async fn serve(
    app: Arc<App>,
    callers: TcpListener,
    peers: TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
    mut shutdown: watch::Receiver<Shutdown>,
) {
    let (close, closed) = watch::channel(false);
    let handler = handler(app.clone(), recorder());
    let limits = app.settings.limits;
    let mut servers = JoinSet::new();
    servers.spawn(wire::serve(callers, handler, limits, closed.clone()));
    let service = peer_handler(app.clone());
    let peer = app.settings.peer.clone();
    let mut background = JoinSet::new();
    background.spawn(peer::serve(peers, service, peer, closed));
    background.spawn(execute(app.clone(), commands));
    background.spawn(register(app.clone()));
    background.spawn(sweep(app.clone()));
    tokio::select! {
        () = drain(&app, &mut shutdown) => {}
        _ = servers.join_next() => {}
    }
    close.send_replace(true);
    let is_forced = *shutdown.borrow() == Shutdown::Immediate;
    if !is_forced {
        // Idle connections close at once; what is left are replies that are being sent.
        let _ = timeout(CLOSE_LIMIT, async {
            while servers.join_next().await.is_some() {}
        })
        .await;
    }
    servers.shutdown().await;
    background.shutdown().await;
    tracing::info!(instance = &*app.identity.instance, "stopped");
}

/// Time for the last replies after the node said that everything has ended.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

async fn execute(app: Arc<App>, mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        app.execute(command);
    }
}

async fn sweep(app: Arc<App>) {
    let mut interval = tokio::time::interval(SWEEP);
    loop {
        interval.tick().await;
        app.sweep().await;
    }
}

fn connect(
    settings: &Settings,
    identity: &Identity,
    commands: mpsc::UnboundedSender<Command>,
) -> Result<Parts, Error> {
    let platform = PlatformClient::new(settings.platform.clone())?;
    let mut node = settings.node.clone();
    // Instances with the same settings must not draw the same random numbers, or they would all
    // choose the same targets.
    let incarnation = identity.incarnation.to_le_bytes();
    node.seed ^= fingerprint(&[identity.instance.as_bytes(), &incarnation]);
    let node = Node::new(node, identity.clone(), SystemTime::now());
    Ok(Parts {
        control: Arc::new(ControlAddress::start(node, commands)?),
        engines: Arc::new(EngineClient::new(settings.target)),
        listings: Arc::new(platform.clone()),
        peers: Arc::new(Pool::new(settings.peer.clone())),
        services: Arc::new(ServiceClient::new(settings.target)),
        table: Arc::new(platform),
    })
}

fn identity(settings: &Settings, address: SocketAddr, peer_address: SocketAddr) -> Identity {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Identity {
        address,
        failure_domain: settings.failure_domain.clone(),
        // An instance has no storage of its own, so the clock makes its start numbers grow.
        incarnation: milliseconds(since.unwrap_or_default()),
        instance: settings.instance.clone(),
        peer_address,
        region: settings.region.clone(),
    }
}

async fn listen(address: SocketAddr, field: &'static str) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen {
            address,
            field,
            message: error.to_string(),
        })
}

fn local(listener: &TcpListener, field: &'static str) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|error| Error::Listen {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        field,
        message: error.to_string(),
    })
}

/// Recorder of the process. Several instances in one process share it.
fn recorder() -> Option<PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let install = || match PrometheusBuilder::new().install_recorder() {
        Err(error) => {
            tracing::warn!(%error, "metrics are not recorded");
            None
        }
        Ok(handle) => Some(handle),
    };
    HANDLE.get_or_init(install).clone()
}
