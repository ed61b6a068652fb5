use super::*;

/// A listed target with what this instance observed of it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// When the last sign of activity arrived.
    pub(crate) last_active_at: Duration,
    /// When other instances last said that it does not answer them, and it was to be asked here.
    pub(crate) probe_requested_at: Option<Duration>,
    pub(crate) health: Health,
    /// Whether it is to be asked because of what others said.
    pub(crate) needs_probe: bool,
    /// Requests of this instance that it serves.
    pub(crate) in_flight_count: u32,
    pub(crate) availability: Availability,
    /// Last reported load, and when it arrived.
    pub(crate) load: Option<(Load, Duration)>,
    /// Tokens times layers that requests of this instance took since the others last told their loads.
    pub(crate) unshared_token_layers: f64,
    /// Factor by which it is slower than its hardware, as it last said. Invariant: at least 1.
    pub(crate) slowness: f64,
    pub(crate) target: Target,
    /// The same factor as other instances last heard it. Invariant: at least 1.
    pub(crate) peer_slowness: f64,
    /// Tokens times layers that requests of this instance take.
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
            unshared_token_layers: 0.0,
            slowness: 1.0,
            target,
            peer_slowness: 1.0,
            token_layers: 0.0,
        }
    }

    /// Factor by which it is slower than its hardware, as this instance or others know it.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness.max(self.peer_slowness)
    }

    /// Whether it leaves, as it is listed or as it said itself.
    pub(crate) fn is_leaving(&self) -> bool {
        self.target.is_leaving || self.availability.is_leaving
    }

    /// Expected requests at a plain target, as a share of what it runs at once.
    pub(crate) fn plain_load(&self, now: Duration, peers: f64, settings: &FleetSettings) -> f64 {
        let slots = f64::from(self.target.slot_count.max(1));
        let own = f64::from(self.in_flight_count);
        let estimate = match self.load {
            Some((load, at)) if now.saturating_sub(at) < settings.max_report_age => {
                let reported = f64::from(load.running_count + load.waiting_count);
                reported.max(own)
            }
            _ => own * peers,
        };
        estimate / slots
    }

    /// Memory for requests, in tokens times layers.
    pub(crate) fn token_layer_capacity(&self, profile: &EngineProfile) -> f64 {
        let Some(hardware) = self.hardware(profile) else {
            return 0.0;
        };
        let held = f64::from(self.target.held.map_or(0, LayerRange::count));
        let free_mb = hardware.memory_mb - held * profile.layer_mb;
        (free_mb / profile.kv_mb_per_token_layer()).max(0.0)
    }

    pub(crate) fn hardware<'a>(&self, profile: &'a EngineProfile) -> Option<&'a HardwareKind> {
        profile.kind(self.target.hardware.as_deref()?)
    }
}
