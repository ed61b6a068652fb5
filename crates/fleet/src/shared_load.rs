use super::*;

/// Age at which the loads that other instances told no longer say anything.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// What some instances know of one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedLoad {
    /// Target.
    pub id: TargetId,
    /// Requests.
    pub in_flight_count: u32,
    /// Instances that got no answer when they asked it how it is.
    pub silent_count: u32,
    /// Instances to which it said that it is much slower than its hardware.
    pub slow_count: u32,
    /// Sum of the factors by which it said so.
    pub slowness_sum: f64,
    /// Tokens times layers.
    pub token_layers: f64,
}

/// Loads of the other instances at one target, as they were last told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    pub(crate) in_flight_count: f64,
    pub(crate) token_layers: f64,
}

/// Loads of the other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads {
    /// When they were told; none if never.
    at: Option<Duration>,
    loads: HashMap<TargetId, PeerLoad>,
}

impl PeerLoads {
    pub(crate) fn set(&mut self, now: Duration, loads: &[SharedLoad]) {
        self.at = Some(now);
        self.loads.clear();
        for load in loads {
            let other = PeerLoad {
                in_flight_count: f64::from(load.in_flight_count),
                token_layers: load.token_layers,
            };
            self.loads.insert(load.id.clone(), other);
        }
    }

    /// Load at a target; none if nothing recent is known of the others.
    pub(crate) fn get(&self, now: Duration, id: &TargetId) -> Option<PeerLoad> {
        let at = self.at?;
        if now.saturating_sub(at) > MAX_LOAD_AGE {
            return None;
        }
        Some(self.loads.get(id).copied().unwrap_or_default())
    }
}
