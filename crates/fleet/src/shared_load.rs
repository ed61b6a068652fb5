use super::*;

/// Age up to which reported loads of other instances are used.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Load of one target and its state, summed over some instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SharedLoad {
    /// Target that the load is about.
    pub id: TargetId,
    /// Requests of these instances that are running on it.
    pub in_flight_count: u32,
    /// Number of instances whose last probe of it got no answer.
    pub silent_count: u32,
    /// Number of instances to which it reported that it is much slower than expected of its hardware.
    pub slow_count: u32,
    /// Sum of the slowness factors reported to the instances of `slow_count`.
    pub slowness_sum: f64,
    /// Memory that the requests occupy, in tokens times layers.
    pub token_layers: f64,
}

/// Last reported load of the other instances at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    pub(crate) in_flight_count: f64,
    pub(crate) token_layers: f64,
}

/// Last reported loads of the other instances at each target.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLoads {
    /// When the report arrived; none if there was none yet.
    received_at: Option<Duration>,
    loads: HashMap<TargetId, PeerLoad>,
}

impl PeerLoads {
    pub(crate) fn set(&mut self, now: Duration, loads: &[SharedLoad]) {
        self.received_at = Some(now);
        self.loads.clear();
        for load in loads {
            let peer_load = PeerLoad {
                in_flight_count: f64::from(load.in_flight_count),
                token_layers: load.token_layers,
            };
            self.loads.insert(load.id.clone(), peer_load);
        }
    }

    /// Load at a target; none if there is no report younger than `MAX_LOAD_AGE`.
    pub(crate) fn get(&self, now: Duration, id: &TargetId) -> Option<PeerLoad> {
        let received_at = self.received_at?;
        if now.saturating_sub(received_at) > MAX_LOAD_AGE {
            return None;
        }
        Some(self.loads.get(id).copied().unwrap_or_default())
    }
}
