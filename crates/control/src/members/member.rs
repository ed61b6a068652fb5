use super::*;

/// State of this instance that its heartbeats report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnState {
    /// Version of the operator lists in force.
    pub config_version: ConfigVersion,
    /// Time since the store confirmed that version.
    pub confirmed_age: Duration,
    /// Crashes observed in the last minutes.
    pub crashes: Vec<CrashReport>,
    /// Demand of the accounts that have running or waiting requests.
    pub demands: Vec<Demand>,
    /// Whether this instance is shutting down.
    pub leaving: bool,
    /// Whether this instance serves callers.
    pub ready: bool,
    /// Number of further requests that it could accept now.
    pub spare_count: u32,
}

/// Membership as this instance sees it: targets, peers, and their health. Used only by the control
/// thread.
#[derive(Clone, Debug)]
pub struct Members {
    /// Departures by id: the incarnation that left, and the time at which this instance learned of
    /// it.
    pub(crate) departures: BTreeMap<Arc<str>, (Incarnation, Duration)>,
    pub(crate) next_heartbeat_at: Duration,
    pub(crate) identity: Identity,
    /// Ids in the platform's list as last read; `None` before the first read.
    pub(crate) listed: Option<BTreeSet<Arc<str>>>,
    pub(crate) next_listing_at: Duration,
    /// State of this instance as of the last tick.
    pub(crate) own: OwnState,
    pub(crate) peers: BTreeMap<InstanceId, PeerEntry>,
    pub(crate) settings: MemberSettings,
    /// Senders of heartbeats that have not been listed yet, and the time of the last heartbeat of
    /// each.
    pub(crate) unlisted: BTreeMap<InstanceId, Duration>,
    pub(crate) targets: BTreeMap<TargetId, TargetEntry>,
    pub(crate) ticked_at: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub(crate) tracker: HealthTracker,
    pub(crate) peer: Peer,
    /// Digests last sent to the peer, by target.
    pub(crate) sent: BTreeMap<TargetId, SentDigest>,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub(crate) tracker: HealthTracker,
    /// Whether this instance polls the target.
    pub(crate) is_polled: bool,
    pub(crate) next_poll_at: Duration,
    pub(crate) target: Target,
}

impl Members {
    /// Creates a membership without peers and targets.
    #[must_use]
    pub fn new(identity: Identity, settings: MemberSettings) -> Self {
        Self {
            departures: BTreeMap::new(),
            next_heartbeat_at: Duration::ZERO,
            identity,
            listed: None,
            next_listing_at: Duration::ZERO,
            own: OwnState::default(),
            peers: BTreeMap::new(),
            settings,
            unlisted: BTreeMap::new(),
            targets: BTreeMap::new(),
            ticked_at: Duration::ZERO,
        }
    }

    /// All known targets, in order of their ids.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|entry| &entry.target)
    }

    /// Target with this id; `None` if it is not known.
    #[must_use]
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id).map(|entry| &entry.target)
    }

    /// All known peers, in order of their ids.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().map(|entry| &entry.peer)
    }

    /// Peer with this id; `None` if it is not known.
    #[must_use]
    pub fn peer(&self, id: &InstanceId) -> Option<&Peer> {
        self.peers.get(id).map(|entry| &entry.peer)
    }

    /// State of this instance as of the last tick.
    #[must_use]
    pub fn own_state(&self) -> &OwnState {
        &self.own
    }

    /// Whether the platform's list has been read at least once.
    #[must_use]
    pub fn has_listing(&self) -> bool {
        self.listed.is_some()
    }

    /// Whether the platform's list, as last read, contains `id`.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.listed
            .as_ref()
            .is_some_and(|listed| listed.contains(id))
    }

    /// Whether this instance hears from more than half of the instances in its view, itself
    /// included. The view holds every instance that is listed or was heard in the last minute and
    /// is not leaving. Returns false before the platform's list was read, as the view is not known
    /// then.
    #[must_use]
    pub fn has_majority(&self, now: Duration) -> bool {
        if !self.has_listing() {
            return false;
        }
        let hearing = Duration::from_millis(self.settings.hearing_ms);
        let horizon = Duration::from_millis(self.settings.view_ms);
        let (mut heard, mut view) = (1_usize, 1_usize);
        for peer in self.view(now) {
            let silence = peer.last_heartbeat_at.map(|at| now.saturating_sub(at));
            view += 1;
            heard += usize::from(silence.is_some_and(|silence| silence <= hearing));
        }
        for last_heartbeat_at in self.unlisted.values() {
            let silence = now.saturating_sub(*last_heartbeat_at);
            view += usize::from(silence <= horizon);
            heard += usize::from(silence <= hearing);
        }
        heard * 2 > view
    }

    /// Peers that are listed or were heard in the last minute, and are not leaving.
    pub(crate) fn view(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let horizon = Duration::from_millis(self.settings.view_ms);
        self.peers().filter(move |peer| {
            let last_heartbeat_at = peer.last_heartbeat_at;
            let is_recent = last_heartbeat_at.is_some_and(|at| now.saturating_sub(at) <= horizon);
            peer.health != TargetHealth::Leaving && (self.is_listed(&peer.id) || is_recent)
        })
    }

    /// Whether this instance owns `key` according to its own view. Two instances may both own a key
    /// for a time, so the work of an owner starts with a conditional write.
    #[must_use]
    pub fn is_owner(&self, key: &str) -> bool {
        if self.own.leaving {
            return false;
        }
        let own = rendezvous::weight(key, &self.identity.instance);
        for peer in self.peers() {
            if peer.accepts_work() && rendezvous::weight(key, &peer.id) > own {
                return false;
            }
        }
        true
    }

    /// Peer that gets the backup copy of a journal: preferably in another failure domain, then
    /// live, then by spare capacity. `seed` varies the choice among equal peers.
    #[must_use]
    pub fn journal_backup(&self, seed: u64) -> Option<(InstanceId, SocketAddr)> {
        let own = &self.identity.failure_domain;
        let chosen = self
            .peers()
            .filter(|peer| peer.accepts_work())
            .max_by_key(|peer| {
                let is_away = peer.failure_domain != *own;
                let is_live = peer.health == TargetHealth::Live;
                let hash = rendezvous::weight(&seed.to_string(), &peer.id);
                // Weighted by spare capacity with a hash, so that not all journals go to one peer.
                let score = (hash >> 32) * u64::from(peer.spare_count.saturating_add(1));
                (is_away, is_live, score)
            });
        chosen.map(|peer| (peer.id.clone(), peer.peer_address))
    }

    /// Applies the platform's list. An empty list removes no member, and a process that sends
    /// heartbeats or reports stays even if it is not listed.
    pub fn listing_read(&mut self, context: &mut Context, listings: Vec<Listing>) {
        if listings.is_empty() {
            context.log(
                "member",
                "listing",
                "the list of the platform is empty; the last one stays in use",
            );
            return;
        }
        let is_first = self.listed.is_none();
        self.listed = Some(listings.iter().map(|row| row.id.clone()).collect());
        for listing in listings {
            if listing.id == self.identity.instance {
                continue;
            }
            let (id, incarnation) = (listing.id.clone(), listing.incarnation);
            let is_leaving = listing.leaving;
            match &listing.role {
                ListingRole::Entry { peer_address } => {
                    let address = *peer_address;
                    self.upsert_peer(context, listing, address, is_first);
                }
                _ => self.upsert_target(context, listing, is_first),
            }
            if is_leaving {
                self.record_departure(context, &id, incarnation);
            }
            self.apply_departure(context, &id);
        }
        self.refresh_health(context.now);
    }

    /// Records that a process leaves. Later processes with the same id are not affected.
    pub(crate) fn record_departure(
        &mut self,
        context: &mut Context,
        id: &Arc<str>,
        incarnation: Incarnation,
    ) {
        let known = self.departures.get(id).map(|(known, _)| *known);
        if known.is_none_or(|known| known < incarnation) {
            self.departures
                .insert(id.clone(), (incarnation, context.now));
        }
        self.apply_departure(context, id);
    }

    /// Marks a member as leaving if its incarnation has departed.
    pub(crate) fn apply_departure(&mut self, context: &mut Context, id: &Arc<str>) {
        let Some((departed, _)) = self.departures.get(id) else {
            return;
        };
        if let Some(entry) = self.peers.get_mut(id)
            && entry.peer.incarnation <= *departed
        {
            entry.tracker.mark_leaving(context, id);
            entry.peer.health = entry.tracker.health();
        }
        if let Some(entry) = self.targets.get_mut(id)
            && entry.target.incarnation <= *departed
        {
            entry.tracker.mark_leaving(context, id);
            entry.target.health = entry.tracker.health();
        }
    }

    fn upsert_peer(
        &mut self,
        context: &mut Context,
        listing: Listing,
        peer_address: SocketAddr,
        is_first: bool,
    ) {
        self.unlisted.remove(&listing.id);
        let interval = Duration::from_millis(self.settings.heartbeat_ms);
        if let Some(entry) = self.peers.get_mut(&listing.id)
            && entry.peer.incarnation >= listing.incarnation
        {
            // The first heartbeat of a new process may arrive before the list has it, and a
            // heartbeat contains no addresses.
            if entry.peer.incarnation == listing.incarnation {
                entry.peer.address = listing.address;
                entry.peer.failure_domain = listing.failure_domain;
                entry.peer.has_current_address = true;
                entry.peer.peer_address = peer_address;
                entry.peer.region = listing.region;
            }
            return;
        }
        let tracker = HealthTracker::new(context.now, interval, is_first);
        let peer = Peer::from_listing(listing, peer_address);
        let sent = BTreeMap::new();
        self.peers.insert(
            peer.id.clone(),
            PeerEntry {
                tracker,
                peer,
                sent,
            },
        );
    }

    fn upsert_target(&mut self, context: &mut Context, listing: Listing, is_first: bool) {
        if let Some(entry) = self.targets.get_mut(&listing.id)
            && entry.target.incarnation >= listing.incarnation
        {
            // The first report of a new process may arrive before the list has it, and a report
            // contains no address.
            if entry.target.incarnation == listing.incarnation {
                entry.target.address = listing.address;
                entry.target.failure_domain = listing.failure_domain;
                entry.target.region = listing.region;
            }
            entry.target.role = listing.role;
            return;
        }
        let interval = Duration::from_millis(self.settings.poll_ms);
        // Distributes the polls of one collector over the interval.
        let phase_ms = rendezvous::weight(&listing.id, "poll") % self.settings.poll_ms.max(1);
        let is_new_target = !is_first;
        let phase = Duration::from_millis(if is_new_target { 0 } else { phase_ms });
        let entry = TargetEntry {
            tracker: HealthTracker::new(context.now, interval, is_first),
            is_polled: false,
            next_poll_at: context.now + phase,
            target: Target::from_listing(listing, context.now),
        };
        self.targets.insert(entry.target.id.clone(), entry);
    }

    /// Copies the health and ramp of each tracker into the peers and targets that routing reads.
    pub(crate) fn refresh_health(&mut self, now: Duration) {
        for entry in self.peers.values_mut() {
            entry.peer.health = entry.tracker.health();
            entry.peer.ramp_fraction = entry.tracker.ramp_fraction(now, &self.settings);
        }
        for entry in self.targets.values_mut() {
            entry.target.health = entry.tracker.health();
            entry.target.ramp_fraction = entry.tracker.ramp_fraction(now, &self.settings);
        }
    }
}
