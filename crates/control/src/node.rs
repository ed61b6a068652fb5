use super::*;

/// One entry instance's decisions: a deterministic state machine driven by one thread.
#[derive(Debug)]
pub struct Node {
    context: Context,
    identity: Identity,
    lists: Arc<Lists>,
    settings: NodeSettings,
}

impl Node {
    /// Creates a node at time zero.
    #[must_use]
    pub fn new(settings: NodeSettings, identity: Identity, wall: SystemTime) -> Self {
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            context: Context::new(random, wall),
            identity,
            lists: Arc::default(),
            settings,
        }
    }

    /// Entry addresses for a caller, near runners of `model` if given.
    pub fn addresses(&mut self, now: Duration, _model: Option<&ModelId>) -> AddressAnswer {
        self.context.now = now;
        AddressAnswer {
            addresses: vec![self.identity.address],
            time_to_live: Duration::from_millis(self.settings.drain.address_ttl_ms),
        }
    }

    /// Changes after `version`, or none when they are no longer held.
    #[must_use]
    pub fn changes_since(&self, _version: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        None
    }

    /// Acts on one event. `now` is the time since the process started and must not decrease.
    pub fn handle(&mut self, now: Duration, _event: Event) -> Vec<Command> {
        self.context.now = now;
        std::mem::take(&mut self.context.commands)
    }

    /// Lists in force at this instance.
    #[must_use]
    pub fn lists(&self) -> &Arc<Lists> {
        &self.lists
    }

    /// What became of the call that was claimed with `nonce`.
    #[must_use]
    pub fn owner_status(&self, _nonce: &Nonce) -> OwnerStatus {
        OwnerStatus::UnknownClaim
    }

    /// What this node believes of itself, its peers and its targets.
    #[must_use]
    pub fn status(&self, _now: Duration) -> Status {
        Status {
            config_version: self.lists.version,
            in_force_count: 1,
            instance_count: 1,
            instances: Vec::new(),
            ready: false,
            targets: Vec::new(),
        }
    }
}
