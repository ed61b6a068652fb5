use super::*;

impl Members {
    /// Reads the platform's list, polls the targets that this instance collects from, sends
    /// heartbeats, and updates the health of members that are silent.
    pub fn tick(&mut self, context: &mut Context, own: &OwnState) {
        let now = context.now;
        self.own = own.clone();
        if now.saturating_sub(self.ticked_at) > PAUSE_THRESHOLD {
            self.restart_silence(now);
        }
        self.ticked_at = now;
        if now >= self.next_listing_at {
            self.next_listing_at = now + Duration::from_millis(self.settings.listing_ms);
            context.push(Command::ReadListing);
        }
        for (id, entry) in &mut self.peers {
            entry.tracker.tick(context, id, &self.settings, true);
        }
        for (id, entry) in &mut self.targets {
            let is_observed = entry.is_polled;
            entry.tracker.tick(context, id, &self.settings, is_observed);
        }
        self.drop_expired(now);
        self.refresh_health(now);
        self.poll(context);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + Duration::from_millis(self.settings.heartbeat_ms);
            self.send_heartbeats(context, own);
        }
    }

    /// Restarts all silence intervals after a pause of this process, which says nothing about other
    /// processes.
    fn restart_silence(&mut self, now: Duration) {
        for entry in self.peers.values_mut() {
            entry.tracker.detector.reset(now);
        }
        for entry in self.targets.values_mut() {
            entry.tracker.detector.reset(now);
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        let horizon = Duration::from_millis(self.settings.view_ms);
        let memory = Duration::from_millis(self.settings.departure_memory_ms);
        let listed = self.listed.clone().unwrap_or_default();
        let is_old = |at: Duration| now.saturating_sub(at) > horizon;
        self.unlisted
            .retain(|_, last_heartbeat_at| !is_old(*last_heartbeat_at));
        self.peers.retain(|id, entry| {
            let is_silent = entry.peer.last_heartbeat_at.is_none_or(is_old);
            listed.contains(id) || !is_silent
        });
        self.targets.retain(|id, entry| {
            let is_working = matches!(entry.target.health, TargetHealth::Live);
            listed.contains(id) || is_working || !is_old(entry.target.reported_at)
        });
        let (peers, targets) = (&self.peers, &self.targets);
        self.departures.retain(|id, (_, learned_at)| {
            let is_known = peers.contains_key(id) || targets.contains_key(id);
            is_known || now.saturating_sub(*learned_at) <= memory.max(horizon)
        });
    }

    fn poll(&mut self, context: &mut Context) {
        let now = context.now;
        let interval = Duration::from_millis(self.settings.poll_ms);
        let standby = Duration::from_millis(self.settings.standby_ms);
        let own = (&self.identity.instance, &self.identity.failure_domain);
        for (id, entry) in &mut self.targets {
            if now < entry.next_poll_at {
                continue;
            }
            entry.next_poll_at = now + interval;
            let candidates = self
                .peers
                .values()
                .filter(|entry| entry.peer.accepts_work())
                .map(|entry| (&entry.peer.id, &entry.peer.failure_domain));
            let ranked = rendezvous::rank_collectors(&entry.target, candidates.chain([own]));
            let is_stale = now.saturating_sub(entry.target.reported_at) > standby;
            let is_collector = ranked.first() == Some(&own.0);
            let is_standby = ranked.get(1) == Some(&own.0) && is_stale;
            let is_polled = (is_collector || is_standby) && !self.own.leaving;
            if is_polled && !entry.is_polled {
                entry.tracker.detector.reset(now);
            }
            entry.is_polled = is_polled;
            if !is_polled {
                continue;
            }
            context.push(Command::Poll {
                address: entry.target.address,
                cache_event_count: entry.target.report.cache_event_count,
                is_engine: matches!(entry.target.role, ListingRole::Engine { .. }),
                target: id.clone(),
            });
        }
    }

    fn send_heartbeats(&mut self, context: &mut Context, own: &OwnState) {
        let memory = Duration::from_millis(self.settings.departure_memory_ms);
        let departures: Vec<Departure> = self
            .departures
            .iter()
            .filter(|(_, (_, learned_at))| context.now.saturating_sub(*learned_at) <= memory)
            .map(|(id, (incarnation, _))| Departure {
                id: id.clone(),
                incarnation: *incarnation,
            })
            .collect();
        for (id, entry) in &mut self.peers {
            let digests = digests(&self.targets, &mut entry.sent, context.now, &self.settings);
            let heartbeat = Heartbeat {
                config_version: own.config_version,
                confirmed_age_ms: own.confirmed_age.as_millis() as u64,
                crashes: own.crashes.clone(),
                demands: own.demands.clone(),
                departures: departures.clone(),
                digests,
                incarnation: self.identity.incarnation,
                leaving: own.leaving,
                ready: own.ready,
                sender: self.identity.instance.clone(),
                spare_count: own.spare_count,
            };
            context.push(Command::SendHeartbeat {
                heartbeat,
                peer: id.clone(),
                peer_address: entry.peer.peer_address,
            });
        }
    }
}

/// Digest of a target that was last sent to one peer.
#[derive(Clone, Debug)]
pub(crate) struct SentDigest {
    health: TargetHealth,
    incarnation: Incarnation,
    models: Vec<LoadedModel>,
    models_at: Duration,
    reported_at: Duration,
    sent_at: Duration,
}

impl SentDigest {
    /// Whether the peer has the current report and health.
    fn shows(&self, target: &Target) -> bool {
        (self.health, self.incarnation, self.reported_at)
            == (target.health, target.incarnation, target.reported_at)
    }
}

/// Digests of the polled targets for one peer: those with a new report or health since the last one
/// sent, and each one again at the refresh interval, as a heartbeat may be lost. Models that the
/// peer already has are left out.
fn digests(
    targets: &BTreeMap<TargetId, TargetEntry>,
    sent: &mut BTreeMap<TargetId, SentDigest>,
    now: Duration,
    settings: &MemberSettings,
) -> Vec<TargetDigest> {
    let refresh = Duration::from_millis(settings.digest_refresh_ms);
    let models_refresh = Duration::from_millis(settings.models_refresh_ms);
    sent.retain(|id, _| targets.get(id).is_some_and(|entry| entry.is_polled));
    let mut digests = Vec::new();
    for (id, entry) in targets {
        if !entry.is_polled || entry.tracker.state() == HealthState::Joining {
            continue;
        }
        let target = &entry.target;
        let last = sent.get(id);
        if last.is_some_and(|last| last.shows(target) && now.saturating_sub(last.sent_at) < refresh)
        {
            continue;
        }
        let report = &target.report;
        let models_at = last
            .filter(|last| last.models == report.models)
            .map(|last| last.models_at)
            .filter(|models_at| now.saturating_sub(*models_at) < models_refresh);
        let entry = SentDigest {
            health: target.health,
            incarnation: target.incarnation,
            models: report.models.clone(),
            models_at: models_at.unwrap_or(now),
            reported_at: target.reported_at,
            sent_at: now,
        };
        sent.insert(id.clone(), entry);
        let age = now.saturating_sub(target.reported_at);
        digests.push(TargetDigest {
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            health: target.health,
            incarnation: target.incarnation,
            models: models_at.is_none().then(|| report.models.clone()),
            rate_per_s: report.rate_per_s as f32,
            running_count: saturate_u16(report.running_count),
            slot_count: saturate_u16(report.slot_count),
            target: id.clone(),
            waiting_count: saturate_u16(report.waiting_count),
        });
    }
    digests
}

fn saturate_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Gap between ticks after which this process counts as paused. Ticks are due every 50 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
