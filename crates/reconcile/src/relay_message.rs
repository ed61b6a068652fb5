use super::*;

/// Entry of `Query::avoided` by which a requester tells that it accepts `RelayReply::DatedAnswer`. No instance
/// has this address, so earlier versions, which cannot decode a query with a further field, ignore it.
const ACCEPTS_DATED_ANSWERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 1);

/// Query for the shared state, sent to the parent. Also reports the state of the requester and its
/// descendants.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Instances that the requester avoids because they recently returned no current state. May contain an entry
    /// that stands for an ability of the requester, see `accept_dated_answers`.
    pub avoided: Vec<SocketAddr>,
    /// Version of the requester's configuration; 0 if it has none.
    pub catalog_version: u64,
    /// Crashes reported by the requester.
    pub crashes: Vec<CrashReport>,
    /// Targets that announced that they are leaving but are still listed as staying.
    pub departures: Vec<Departure>,
    /// Digest of the requester's list of instances.
    pub instances_digest: u64,
    /// Whether the requester is leaving.
    pub is_leaving: bool,
    /// Loads of the requester and its descendants; none if it sends them to another instance,
    /// because each load must be counted once.
    pub loads: Option<Vec<SharedLoad>>,
    /// Reports about descendants of the requester; empty if they were sent recently and have not
    /// changed.
    pub members: Vec<MemberReport>,
    /// Revision of the target list that the requester received from the queried instance; 0 if it
    /// has none or one from another source.
    pub revision: u64,
    /// Data of the requester.
    pub row: InstanceRow,
    /// Version of the requester's tree.
    pub tree_version: TreeVersion,
    /// Longest time to wait for a change before answering.
    pub wait: Duration,
}

impl Query {
    /// Declares that the requester accepts answers with the times of last activity of instances.
    pub fn accept_dated_answers(&mut self) {
        self.avoided.push(ACCEPTS_DATED_ANSWERS);
    }

    /// Whether the requester accepts answers with the times of last activity of instances.
    #[must_use]
    pub fn accepts_dated_answers(&self) -> bool {
        self.avoided.contains(&ACCEPTS_DATED_ANSWERS)
    }
}

/// Reply to a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayReply {
    /// State that is newer than the requester's.
    Answer(Box<Answer>),
    /// Tree that names the instances to query first.
    Redirect(RelayTree),
    /// The same as `Answer`, with the times of last activity of the listed instances. Sent only to requesters that
    /// accept it.
    DatedAnswer(Box<Answer>, InstanceSigns),
}

/// Times of last activity and departures of instances.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstanceSigns {
    /// Time since the last sign of activity of each instance in the responder's list, in the order of that list.
    pub ages: Vec<SignAge>,
    /// Instances that have left recently.
    pub departures: Vec<InstanceDeparture>,
}

/// Instance that has left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceDeparture {
    /// Time since the departure.
    pub age: SignAge,
    /// Instance id.
    pub id: Arc<str>,
    /// Start id of the process that has left.
    pub start: Arc<str>,
}

/// Answer to a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Configuration, if it is newer than the requester's.
    pub catalog: Option<CatalogParts>,
    /// Time since the read that confirmed the configuration was sent.
    pub catalog_age: Duration,
    /// Crashes reported by all other instances.
    pub crashes: Vec<CrashReport>,
    /// Targets that announced that they are leaving but are still listed as staying.
    pub departures: Vec<Departure>,
    /// Number of instances between the stores and this answer; 0 if the responder reads the stores
    /// itself.
    pub distance: u32,
    /// Instances that callers may use, if they differ from the requester's list.
    pub instances: Option<Vec<Instance>>,
    /// Time since the list of instances was built. Zero unless the responder is of an earlier version, which
    /// passes on the lists of others.
    pub instances_age: Duration,
    /// Loads of all instances except the requester and its descendants.
    pub other_loads: Vec<SharedLoad>,
    /// Revision of the responder's target list.
    pub revision: u64,
    /// Change of the target list since the requester's revision; none if there is none.
    pub targets: Option<TargetChange>,
    /// Time since the targets were read from the store.
    pub targets_age: Duration,
    /// Tree of instances, if it is newer than the requester's.
    pub tree: Option<RelayTree>,
    /// Time from the arrival of the query to the answer.
    pub waited: Duration,
}

/// Sends queries to other instances.
pub trait Relay: Send + Sync {
    /// Queries the instance at `address` for state that is newer than the sender's.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time, or when the queried instance has no state
    /// yet or is leaving.
    fn ask(&self, address: SocketAddr, query: Query) -> BoxFuture<'_, Result<RelayReply, Error>>;

    /// Exchanges crash victims with the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time, when the queried instance is leaving, or when it is of an
    /// earlier version, which does not know the call.
    fn exchange_phased_victims(
        &self,
        address: SocketAddr,
        query: PhasedVictimQuery,
    ) -> BoxFuture<'_, Result<PhasedVictimAnswer, Error>>;

    /// Exchanges the crash victims that instances of earlier versions know with the instance at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives in time, or when the queried instance is leaving.
    fn exchange_victims(
        &self,
        address: SocketAddr,
        query: VictimQuery,
    ) -> BoxFuture<'_, Result<VictimAnswer, Error>>;
}

/// Digest by which two instances compare their lists of instances.
pub(crate) fn digest(instances: &[Instance]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for instance in instances {
        instance.id.hash(&mut hasher);
        instance.address.hash(&mut hasher);
        instance.domain.hash(&mut hasher);
    }
    hasher.finish()
}
