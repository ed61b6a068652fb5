use super::*;

/// A listed target and what this instance knows about its state.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// When the target last showed activity to this instance.
    pub(crate) last_active_at: Duration,
    /// When a probe was last requested because other instances reported the target as unreachable.
    pub(crate) probe_requested_at: Option<Duration>,
    pub(crate) health: Health,
    /// Whether it must be probed because other instances reported it as unreachable.
    pub(crate) needs_probe: bool,
    /// Requests of this instance that are running on it.
    pub(crate) in_flight_count: u32,
    pub(crate) availability: Availability,
    /// Last load that the target reported, and when the report arrived.
    pub(crate) load: Option<(Load, Duration)>,
    /// Last permit for it that was denied.
    pub(crate) denial: Denial,
    /// Limit on the requests of all instances, as last announced.
    pub(crate) rate_limit: RateLimit,
    /// Tokens times layers of the requests that this instance sent since it last received the loads
    /// of the other instances.
    pub(crate) unshared_token_layers: f64,
    /// Factor by which it is slower than expected of its hardware, as it last reported. Invariant: at
    /// least 1.
    pub(crate) slowness: f64,
    pub(crate) target: Target,
    /// The same factor, averaged over the reports of other instances. Invariant: at least 1.
    pub(crate) peer_slowness: f64,
    /// Tokens times layers of the requests of this instance that are running on it.
    pub(crate) token_layers: f64,
}

impl TargetState {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            last_active_at: Duration::ZERO,
            probe_requested_at: None,
            health: Health::default(),
            needs_probe: false,
            in_flight_count: 0,
            availability: Availability::default(),
            load: None,
            denial: Denial::default(),
            rate_limit: RateLimit::default(),
            unshared_token_layers: 0.0,
            slowness: 1.0,
            target,
            peer_slowness: 1.0,
            token_layers: 0.0,
        }
    }

    /// Factor by which it is slower than expected of its hardware: the larger of what it reported to
    /// this instance and to others.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness.max(self.peer_slowness)
    }

    /// Whether it is leaving, according to the list or to its own announcement.
    pub(crate) fn is_leaving(&self) -> bool {
        self.target.is_leaving || self.availability.is_leaving
    }

    /// Expected requests at the target of a service without a model, divided by the requests that it
    /// runs at once. Without a recent report, the other instances are assumed to send as much as this
    /// one.
    pub(crate) fn utilization(
        &self,
        now: Duration,
        instance_factor: f64,
        settings: &FleetSettings,
    ) -> f64 {
        let slots = f64::from(self.target.slot_count.max(1));
        let own = f64::from(self.in_flight_count);
        let estimate = match self.load {
            Some((load, at)) if now.saturating_sub(at) < settings.max_report_age => {
                let reported = f64::from(load.running_count + load.waiting_count);
                reported.max(own)
            }
            _ => own * instance_factor,
        };
        estimate / slots
    }

    /// Memory that its layers leave for requests, in tokens times layers.
    pub(crate) fn token_layer_capacity(&self, profile: &EngineProfile) -> f64 {
        let Some(hardware) = self.hardware(profile) else {
            return 0.0;
        };
        let held = f64::from(self.target.held.map_or(0, LayerRange::count));
        let free_mb = hardware.memory_mb - held * profile.layer_mb;
        (free_mb / profile.kv_mb_per_token_layer()).max(0.0)
    }

    /// Hardware kind in the engine profile; none if it is not an engine or the kind is unknown.
    pub(crate) fn hardware<'a>(&self, profile: &'a EngineProfile) -> Option<&'a HardwareKind> {
        profile.kind(self.target.hardware.as_deref()?)
    }
}
