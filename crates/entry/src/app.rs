use super::*;

/// Longest time from one sweep of ended journals to the next.
pub(crate) const SWEEP: Duration = Duration::from_secs(1);

/// The outside, as the traffic threads use it.
#[derive(Clone)]
pub struct Parts {
    /// Control thread.
    pub control: Arc<dyn Control>,
    /// Engines.
    pub engines: Arc<dyn Engines>,
    /// Platform's list.
    pub listings: Arc<dyn Listings>,
    /// Other instances.
    pub peers: Arc<dyn Peers>,
    /// Services.
    pub services: Arc<dyn Services>,
    /// Platform's table.
    pub table: Arc<dyn Table>,
}

/// What the traffic threads of one instance share.
pub struct App {
    /// Where the copies of journals are kept. Invariant: names no request without a journal for
    /// longer than `SWEEP`.
    pub(crate) backups: Mutex<HashMap<RequestId, SocketAddr>>,
    pub(crate) directory: Mutex<Arc<Directory>>,
    pub(crate) identity: Identity,
    /// Last heartbeat of each peer, from which its notice of leaving is made.
    pub(crate) heartbeats: Mutex<HashMap<InstanceId, Heartbeat>>,
    pub(crate) journals: Mutex<Journals>,
    pub(crate) leaving: AtomicBool,
    pub(crate) parts: Parts,
    pub(crate) registry: Registry,
    pub(crate) roster: Roster,
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
    /// Creates the shared state of an instance without any requests.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, parts: Parts) -> Arc<Self> {
        Arc::new(Self {
            backups: Mutex::default(),
            directory: Mutex::default(),
            heartbeats: Mutex::default(),
            identity,
            journals: Mutex::new(Journals::new(settings.journal)),
            leaving: AtomicBool::new(false),
            parts,
            registry: Registry::default(),
            roster: Roster::default(),
            settings,
            started: Instant::now(),
            stopped: watch::channel(false).0,
        })
    }

    pub(crate) fn directory(&self) -> Arc<Directory> {
        lock(&self.directory).clone()
    }

    /// Time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(crate) fn report(&self, event: Event) {
        self.parts.control.report(event);
    }

    /// Drops what belongs to journals whose retention is over, and to instances that are gone.
    pub(crate) async fn sweep(&self) {
        let status = self.parts.control.status().await;
        let mut live = BTreeSet::from([self.identity.instance.clone()]);
        for instance in status.iter().flat_map(|status| &status.instances) {
            if instance.health != TargetHealth::Down {
                live.insert(instance.id.clone());
            }
        }
        lock(&self.heartbeats).retain(|instance, _| live.contains(instance));
        let mut journals = lock(&self.journals);
        if status.is_some() {
            journals.mark_orphans(self.now(), &live);
        }
        journals.expire(self.now());
        lock(&self.backups).retain(|request, _| journals.get(request).is_some());
        metrics::gauge!("entry_journal_bytes").set(journals.bytes() as f64);
        metrics::gauge!("entry_journal_charged_bytes").set(journals.charged_bytes() as f64);
        metrics::gauge!("entry_journals").set(journals.count() as f64);
    }

    /// Hands over a journal that this instance holds. The instance with the copy is asked first,
    /// so that two takers, one of which reaches only the copy, do not both get the stream. With
    /// `only_idle`, a stream that runs here stays.
    pub(crate) async fn hand_over(&self, take: TakeRequest) -> TakeAnswer {
        // Read before the check: a backup of a run that the check misses is not asked.
        let backup = lock(&self.backups).get(&take.request).copied();
        let stays = || take.only_idle && self.registry.has_stream(&take.request);
        let here = TakeAnswer::Taken {
            by: self.identity.instance.clone(),
        };
        if stays() {
            return here;
        }
        if let Some(backup) = backup {
            let from_copy = TakeRequest {
                // An instance that runs the stream has taken it over already.
                only_idle: true,
                ..take.clone()
            };
            let answer = self.parts.peers.take_journal(backup, from_copy);
            if let Ok(TakeAnswer::Taken { by }) = answer.await {
                return TakeAnswer::Taken { by };
            }
        }
        let answer = {
            let mut journals = lock(&self.journals);
            // Checked again under the lock, because a run registers before it opens its journal.
            if stays() {
                return here;
            }
            journals.take(self.now(), &take)
        };
        if matches!(answer, TakeAnswer::Given { .. }) {
            // The earlier run must have reported its end before the stream is submitted again.
            if let Some(run) = self.registry.take_over(&take.request) {
                run.closed().await;
            }
        }
        answer
    }
}

/// Random text of 128 bits.
pub(crate) fn random_id() -> Arc<str> {
    format!("{:032x}", rand::random::<u128>()).into()
}
