use super::*;

/// Interval at which expired journals are removed.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interfaces to the control thread, other processes and the platform, as the traffic threads use
/// them. Tests replace them with fakes.
#[derive(Clone)]
pub struct Dependencies {
    /// Control thread, which makes all decisions.
    pub control: Arc<dyn Control>,
    /// Client of the model engines.
    pub engines: Arc<dyn Engines>,
    /// Client of the platform's list of instances and targets.
    pub listings: Arc<dyn Listings>,
    /// Client of the other instances.
    pub peers: Arc<dyn Peers>,
    /// Client of the plain services.
    pub services: Arc<dyn Services>,
    /// Client of the platform's table.
    pub table: Arc<dyn Table>,
}

/// State that the traffic threads of an instance share.
pub struct App {
    /// Peer address of the instance that holds the copy of each journal. Entries whose journal has
    /// expired are removed within `SWEEP_INTERVAL`.
    pub(crate) backups: Mutex<HashMap<RequestId, SocketAddr>>,
    /// Accounts, plans and keys of the configuration in force.
    pub(crate) directory: Mutex<Arc<Directory>>,
    pub(crate) identity: Identity,
    /// Last heartbeat of each peer. When a peer announces that it leaves, this heartbeat is
    /// reported again, marked as leaving.
    pub(crate) heartbeats: Mutex<HashMap<InstanceId, Heartbeat>>,
    pub(crate) journals: Mutex<Journals>,
    pub(crate) leaving: AtomicBool,
    pub(crate) dependencies: Dependencies,
    pub(crate) registry: Registry,
    pub(crate) listing_cache: ListingCache,
    pub(crate) settings: Settings,
    pub(crate) stopped: watch::Sender<bool>,
    started: Instant,
}

impl Debug for App {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter
            .debug_struct("App")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl App {
    /// Creates the state of an instance without any requests.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, dependencies: Dependencies) -> Arc<Self> {
        Arc::new(Self {
            backups: Mutex::default(),
            directory: Mutex::default(),
            heartbeats: Mutex::default(),
            identity,
            journals: Mutex::new(Journals::new(settings.journal)),
            leaving: AtomicBool::new(false),
            dependencies,
            registry: Registry::default(),
            listing_cache: ListingCache::default(),
            settings,
            started: Instant::now(),
            stopped: watch::channel(false).0,
        })
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        lock(&self.directory).clone()
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Passes an event to the node.
    pub(crate) fn report(&self, event: Event) {
        self.dependencies.control.report(event);
    }

    /// Removes journals whose retention has ended and the heartbeats of instances that are down,
    /// and updates the journal metrics.
    pub(crate) async fn sweep(&self) {
        let status = self.dependencies.control.status().await;
        let mut live_instances = BTreeSet::from([self.identity.instance.clone()]);
        for instance in status.iter().flat_map(|status| &status.instances) {
            if instance.health != TargetHealth::Down {
                live_instances.insert(instance.id.clone());
            }
        }
        lock(&self.heartbeats).retain(|instance, _| live_instances.contains(instance));
        let mut journals = lock(&self.journals);
        if status.is_some() {
            journals.mark_orphans(self.now(), &live_instances);
        }
        journals.expire(self.now());
        lock(&self.backups).retain(|request, _| journals.get(request).is_some());
        metrics::gauge!("entry_journal_bytes").set(journals.bytes() as f64);
        metrics::gauge!("entry_journal_charged_bytes").set(journals.charged_bytes() as f64);
        metrics::gauge!("entry_journals").set(journals.count() as f64);
    }

    /// Hands over a journal that this instance holds. The journal is first taken from the backup,
    /// so that only one of two takers gets the stream if the other reaches only the backup. With
    /// `only_idle`, a stream that is running on this instance is not handed over.
    pub(crate) async fn hand_over_journal(&self, take: TakeRequest) -> TakeAnswer {
        // Read before the check, so that the backup of a run that starts after the check is not
        // queried.
        let backup = lock(&self.backups).get(&take.request).copied();
        let must_keep = || take.only_idle && self.registry.has_stream(&take.request);
        let kept_here = TakeAnswer::Taken {
            by: self.identity.instance.clone(),
        };
        if must_keep() {
            return kept_here;
        }
        if let Some(backup) = backup {
            let copy_request = TakeRequest {
                // If the backup runs the stream, it has already taken the stream over.
                only_idle: true,
                ..take.clone()
            };
            let answer = self.dependencies.peers.take_journal(backup, copy_request);
            if let Ok(TakeAnswer::Taken { by }) = answer.await {
                return TakeAnswer::Taken { by };
            }
        }
        let answer = {
            let mut journals = lock(&self.journals);
            // Check again under the lock, because a run registers before it opens its journal.
            if must_keep() {
                return kept_here;
            }
            journals.take(self.now(), &take)
        };
        if matches!(answer, TakeAnswer::Given { .. }) {
            // The earlier run must report its end before the stream is submitted again.
            if let Some(earlier_run) = self.registry.take_over(&take.request) {
                earlier_run.closed().await;
            }
        }
        answer
    }
}

/// Returns 128 random bits in hex.
pub(crate) fn random_id() -> Arc<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}
