use super::*;

/// Requested shutdown of an instance; a later variant is more urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Shutdown {
    /// No shutdown.
    #[default]
    None,
    /// Stop after the requests in progress have ended and handed-out entry addresses have expired.
    Graceful,
    /// Stop immediately and abandon the requests in progress.
    Immediate,
}

/// An instance that has been started and is listening.
#[derive(Debug)]
pub struct RunningInstance {
    /// Address for callers and operators.
    pub address: SocketAddr,
    /// Address for other entry instances.
    pub peer_address: SocketAddr,
    app: Arc<App>,
    task: JoinHandle<()>,
}

impl RunningInstance {
    /// Completes when the instance has stopped.
    pub async fn stopped(self) {
        let _ = self.task.await;
    }

    /// Returns the shared state of the instance.
    #[must_use]
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }
}

/// Starts an instance. Its I/O runs on the current runtime, and its decisions are made on a
/// separate thread.
///
/// # Errors
///
/// Returns an error when an address is not available, the settings contain no platform address, or
/// the control thread cannot be started.
pub async fn start(
    settings: Settings,
    shutdown: watch::Receiver<Shutdown>,
) -> Result<RunningInstance, Error> {
    let caller_listener = listen(settings.address, "address").await?;
    let peer_listener = listen(settings.peer_address, "peer_address").await?;
    let identity = identity(
        &settings,
        local_address(&caller_listener, "address")?,
        local_address(&peer_listener, "peer_address")?,
    );
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let dependencies = build_dependencies(&settings, &identity, commands)?;
    let (address, peer_address) = (identity.address, identity.peer_address);
    let app = App::new(settings, identity, dependencies);
    tracing::info!(instance = &*app.identity.instance, %address, %peer_address, "listening");
    let task = tokio::spawn(serve(
        app.clone(),
        caller_listener,
        peer_listener,
        command_receiver,
        shutdown,
    ));
    Ok(RunningInstance {
        address,
        app,
        peer_address,
        task,
    })
}

/// Runs an instance until it has shut down. Calls `on_listening` once with the addresses for
/// callers and for peers.
///
/// # Errors
///
/// Returns the errors of `start`.
pub async fn run(
    settings: Settings,
    shutdown: watch::Receiver<Shutdown>,
    on_listening: impl FnOnce(SocketAddr, SocketAddr),
) -> Result<(), Error> {
    let running = start(settings, shutdown).await?;
    on_listening(running.address, running.peer_address);
    running.stopped().await;
    Ok(())
}

/// Runs the servers and background tasks until the shutdown has completed.
async fn serve(
    app: Arc<App>,
    caller_listener: TcpListener,
    peer_listener: TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
    mut shutdown: watch::Receiver<Shutdown>,
) {
    let (close, closed) = watch::channel(false);
    let handler = handler(app.clone(), metrics_recorder());
    let limits = app.settings.limits;
    let mut servers = JoinSet::new();
    servers.spawn(wire::serve(
        caller_listener,
        handler,
        limits,
        closed.clone(),
    ));
    let service = peer_handler(app.clone());
    let peer = app.settings.peer.clone();
    let mut background = JoinSet::new();
    background.spawn(peer::serve(peer_listener, service, peer, closed));
    background.spawn(execute_commands(app.clone(), commands));
    background.spawn(keep_registered(app.clone()));
    background.spawn(sweep_periodically(app.clone()));
    tokio::select! {
        () = drain(&app, &mut shutdown) => {}
        _ = servers.join_next() => {}
    }
    close.send_replace(true);
    let is_forced = *shutdown.borrow() == Shutdown::Immediate;
    if !is_forced {
        // Idle connections close immediately; only replies that are being sent remain.
        let _ = timeout(CLOSE_TIMEOUT, async {
            while servers.join_next().await.is_some() {}
        })
        .await;
    }
    servers.shutdown().await;
    background.shutdown().await;
    tracing::info!(instance = &*app.identity.instance, "stopped");
}

/// Time limit for sending the last replies after draining has completed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

async fn execute_commands(app: Arc<App>, mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        app.execute(command);
    }
}

async fn sweep_periodically(app: Arc<App>) {
    let mut interval = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        app.sweep().await;
    }
}

/// Creates the clients and starts the control thread.
fn build_dependencies(
    settings: &Settings,
    identity: &Identity,
    commands: mpsc::UnboundedSender<Command>,
) -> Result<Dependencies, Error> {
    let platform = PlatformClient::new(settings.platform.clone())?;
    let mut node = settings.node.clone();
    // Give each process its own random numbers. Instances with the same settings and seed would
    // otherwise all choose the same targets.
    let incarnation = identity.incarnation.to_le_bytes();
    node.seed ^= fingerprint(&[identity.instance.as_bytes(), &incarnation]);
    let node = Node::new(node, identity.clone(), SystemTime::now());
    Ok(Dependencies {
        control: Arc::new(ControlAddress::start(node, commands)?),
        engines: Arc::new(EngineClient::new(settings.target)),
        listings: Arc::new(platform.clone()),
        peers: Arc::new(Pool::new(settings.peer.clone())),
        services: Arc::new(ServiceClient::new(settings.target)),
        table: Arc::new(platform),
    })
}

fn identity(settings: &Settings, address: SocketAddr, peer_address: SocketAddr) -> Identity {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Identity {
        address,
        failure_domain: settings.failure_domain.clone(),
        // An instance has no persistent storage, so the clock provides increasing incarnations.
        incarnation: to_millis(since_epoch.unwrap_or_default()),
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

/// Returns the address on which a listener accepts connections.
fn local_address(listener: &TcpListener, field: &'static str) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|error| Error::Listen {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        field,
        message: error.to_string(),
    })
}

/// Returns the metrics recorder, which all instances in one process share; none if it cannot be
/// installed.
fn metrics_recorder() -> Option<PrometheusHandle> {
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
