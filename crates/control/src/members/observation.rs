use super::*;

impl Members {
    /// Applies the heartbeat of a peer: its own state, its digests of targets, and departures.
    pub fn heartbeat_received(&mut self, context: &mut Context, heartbeat: &Heartbeat) {
        if heartbeat.sender == self.identity.instance {
            return;
        }
        for departure in &heartbeat.departures {
            self.record_departure(context, &departure.id, departure.incarnation);
        }
        if heartbeat.leaving {
            self.record_departure(context, &heartbeat.sender, heartbeat.incarnation);
        }
        if self.record_peer_state(context, heartbeat) {
            for digest in &heartbeat.digests {
                self.apply_digest(context, digest);
            }
        }
        self.apply_departure(context, &heartbeat.sender);
        self.refresh_health(context.now);
    }

    /// Handles a heartbeat that the peer did not receive.
    pub fn heartbeat_failed(&mut self, context: &mut Context, peer: &InstanceId) {
        let Some(entry) = self.peers.get_mut(peer) else {
            return;
        };
        entry.sent.clear();
        entry.tracker.apply(context, peer, HealthEvent::Refused);
        entry.peer.health = entry.tracker.health();
    }

    /// Applies the reply of a target to a poll.
    pub fn load_received(&mut self, context: &mut Context, target: &TargetId, report: LoadReport) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        if !entry.accepts_incarnation(context.now, report.incarnation, &self.settings) {
            return;
        }
        entry.tracker.detector.record_arrival(context.now);
        entry.tracker.apply(context, target, HealthEvent::Heard);
        let is_leaving = report.leaving;
        let incarnation = report.incarnation;
        let age = Duration::from_millis(report.age_ms);
        entry.target.reported_at = context.now.saturating_sub(age);
        entry.target.report = report;
        entry.target.health = entry.tracker.health();
        if is_leaving {
            self.record_departure(context, target, incarnation);
        }
        self.apply_departure(context, target);
    }

    /// Handles a failed poll of a target.
    pub fn load_failed(&mut self, context: &mut Context, target: &TargetId, kind: FailureKind) {
        self.dispatch_failed(context, target, kind);
    }

    /// Handles a failed poll or dispatch of this instance. Only a refused or broken connection
    /// counts against the target. A refusal of work does not, and a missing reply is left to the
    /// failure detector.
    pub fn dispatch_failed(&mut self, context: &mut Context, target: &TargetId, kind: FailureKind) {
        let Some(entry) = self.targets.get_mut(target) else {
            return;
        };
        if matches!(kind, FailureKind::Broken | FailureKind::Unreachable) {
            entry.tracker.apply(context, target, HealthEvent::Refused);
            entry.target.health = entry.tracker.health();
        }
    }

    /// Records the state of the sender. Returns false when the heartbeat is from an earlier
    /// process.
    fn record_peer_state(&mut self, context: &mut Context, heartbeat: &Heartbeat) -> bool {
        let Some(entry) = self.peers.get_mut(&heartbeat.sender) else {
            if heartbeat.leaving {
                self.unlisted.remove(&heartbeat.sender);
            } else {
                self.unlisted.insert(heartbeat.sender.clone(), context.now);
            }
            return true;
        };
        if heartbeat.incarnation < entry.peer.incarnation {
            return false;
        }
        if heartbeat.incarnation > entry.peer.incarnation {
            let interval = Duration::from_millis(self.settings.heartbeat_ms);
            entry.tracker = HealthTracker::new(context.now, interval, false);
            entry.peer.incarnation = heartbeat.incarnation;
            entry.peer.has_current_address = false;
            entry.sent.clear();
        }
        entry.tracker.detector.record_arrival(context.now);
        entry
            .tracker
            .apply(context, &heartbeat.sender, HealthEvent::Heard);
        let peer = &mut entry.peer;
        peer.config_version = heartbeat.config_version;
        peer.confirmed_age = Duration::from_millis(heartbeat.confirmed_age_ms);
        peer.crashes.clone_from(&heartbeat.crashes);
        peer.demands.clone_from(&heartbeat.demands);
        peer.last_heartbeat_at = Some(context.now);
        peer.ready = heartbeat.ready;
        peer.spare_count = heartbeat.spare_count;
        true
    }

    fn apply_digest(&mut self, context: &mut Context, digest: &TargetDigest) {
        if digest.health == TargetHealth::Leaving {
            self.record_departure(context, &digest.target, digest.incarnation);
        }
        let Some(entry) = self.targets.get_mut(&digest.target) else {
            return;
        };
        if !entry.accepts_incarnation(context.now, digest.incarnation, &self.settings) {
            return;
        }
        let age = Duration::from_millis(u64::from(digest.age_ms));
        let reported_at = context.now.saturating_sub(age);
        if let Some(models) = &digest.models {
            entry.target.report.models.clone_from(models);
        }
        let is_first = entry.tracker.state() == HealthState::Joining;
        let is_newer = is_first || reported_at > entry.target.reported_at;
        if is_newer {
            let report = &mut entry.target.report;
            report.rate_per_s = f64::from(digest.rate_per_s);
            report.running_count = u32::from(digest.running_count);
            report.slot_count = u32::from(digest.slot_count);
            report.waiting_count = u32::from(digest.waiting_count);
            entry.target.reported_at = reported_at;
        }
        // Polls of this instance are better evidence than the digest of a peer.
        if entry.is_polled && digest.health != TargetHealth::Down {
            return;
        }
        let event = match digest.health {
            TargetHealth::Down if entry.is_observed_live() => return,
            TargetHealth::Down => HealthEvent::ConfirmedDown,
            TargetHealth::Leaving => return,
            TargetHealth::Live if is_newer => HealthEvent::Heard,
            TargetHealth::Live => return,
            TargetHealth::Suspect => HealthEvent::Late,
        };
        entry.tracker.apply(context, &digest.target, event);
    }
}

impl TargetEntry {
    /// Whether a report of `incarnation` is from the current process. A newer process replaces what
    /// was known of the old one.
    fn accepts_incarnation(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        settings: &MemberSettings,
    ) -> bool {
        if incarnation > self.target.incarnation {
            let interval = Duration::from_millis(settings.poll_ms);
            self.tracker = HealthTracker::new(now, interval, false);
            self.target.incarnation = incarnation;
            self.target.report = LoadReport::default();
            self.target.reported_at = now;
        }
        incarnation >= self.target.incarnation
    }

    /// Whether this instance polls the target itself and gets its replies in time.
    fn is_observed_live(&self) -> bool {
        self.is_polled && self.tracker.state() == HealthState::Live
    }
}
