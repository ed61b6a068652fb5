use super::*;

/// Question of an instance to one that reads the stores.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Instances that the asking one does not ask, as they did not help it lately.
    pub avoided: Vec<SocketAddr>,
    /// Version of the configuration that the asking instance has; 0 if none.
    pub catalog_version: u64,
    /// Crashes that the asking instance saw.
    pub crashes: Vec<CrashReport>,
    /// Targets that said that they leave and are listed as if they stayed.
    pub departures: Vec<Departure>,
    /// Digest of the list of instances that the asking instance has.
    pub instances_digest: u64,
    /// Whether the asking instance is leaving.
    pub is_leaving: bool,
    /// What the requests of the asking instance and of those that ask it take; none if it tells another
    /// one, as they must be counted once.
    pub loads: Option<Vec<SharedLoad>>,
    /// Instances that ask the asking one; empty if this was told lately and has not changed.
    pub members: Vec<MemberReport>,
    /// Revision of the list of targets that it has from the asked instance; 0 if it has none or
    /// another one.
    pub revision: u64,
    /// The asking instance.
    pub row: InstanceRow,
    /// Version of the tree that the asking instance has.
    pub tree_version: TreeVersion,
    /// Longest wait for a change.
    pub wait: Duration,
}

/// Reply to a question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayReply {
    /// What is newer.
    Answer(Box<Answer>),
    /// Others are to be asked first, as this tree says.
    Redirect(RelayTree),
}

/// Answer to a question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Configuration, if it is newer than the one of the asking instance.
    pub catalog: Option<CatalogParts>,
    /// Time since the read that confirmed the configuration was sent.
    pub catalog_age: Duration,
    /// Crashes that all other instances saw.
    pub crashes: Vec<CrashReport>,
    /// Targets that said that they leave and are listed as if they stayed.
    pub departures: Vec<Departure>,
    /// Number of instances between the stores and this answer; 0 if the answering one reads them.
    pub distance: u32,
    /// Instances that callers may use, if they are others than those of the asking instance.
    pub instances: Option<Vec<Instance>>,
    /// Time since the leader formed the list of instances.
    pub instances_age: Duration,
    /// What the requests of all other instances take.
    pub other_loads: Vec<SharedLoad>,
    /// Revision of the list of targets.
    pub revision: u64,
    /// Targets, if they are others than those of the asking instance.
    pub targets: Option<TargetChange>,
    /// Time since the targets were read.
    pub targets_age: Duration,
    /// Which instances to ask, if that is newer than what the asking instance knows.
    pub tree: Option<RelayTree>,
    /// Time from the arrival of the question to the answer.
    pub waited: Duration,
}

/// Calls an instance that knows what the stores hold.
pub trait Relay: Send + Sync {
    /// Asks for what is newer than what this instance knows.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer in time, or the other one knows nothing yet or is leaving.
    fn ask(&self, address: SocketAddr, query: Query) -> BoxFuture<'_, Result<RelayReply, Error>>;
}

/// Digest of a list of instances.
pub(crate) fn digest(instances: &[Instance]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for instance in instances {
        instance.id.hash(&mut hasher);
        instance.address.hash(&mut hasher);
        instance.domain.hash(&mut hasher);
    }
    hasher.finish()
}
