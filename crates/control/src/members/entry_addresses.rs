use super::*;

/// Address at which an instance accepts requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the instance, so that callers can prefer their own.
    pub failure_domain: FailureDomain,
    /// Id of the instance.
    pub instance: InstanceId,
}

/// Answer to a caller that asks for entry addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressAnswer {
    /// Addresses in the order in which the caller should try them.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the caller may use the addresses before it must ask again.
    pub time_to_live: Duration,
}

/// Maximum time to live of an answer. An instance that is leaving still accepts callers for this
/// long after its peers know that it leaves.
pub const MAX_TIME_TO_LIVE: Duration = Duration::from_millis(6_000);

const MIN_TIME_TO_LIVE: Duration = Duration::from_millis(4_000);

/// Minimum weight, so that an instance without spare capacity is still tried last.
const MIN_WEIGHT: f64 = 0.1;

/// Factor on the weight of a suspect instance.
const SUSPECT_WEIGHT_FACTOR: f64 = 0.1;

/// Addresses of the entry instances for one caller: those in the failure domain of the caller
/// first, then those in a region where a live target serves `model`. Within each group the order is
/// random, weighted by spare capacity. Instances that are leaving, down or not ready are left out.
#[must_use]
pub fn entry_addresses(
    members: &Members,
    identity: &Identity,
    random: &mut ChaCha8Rng,
    model: Option<&ModelId>,
    caller_domain: Option<&FailureDomain>,
) -> AddressAnswer {
    let regions = regions_serving(members, model);
    let mut ranked = Vec::new();
    let mut add = |entry: EntryAddress, region: &RegionId, weight: f64| {
        let is_near = caller_domain == Some(&entry.failure_domain);
        // Sorting by u^(1/w) in descending order is a weighted random order without replacement.
        let draw = random.random::<f64>().powf(1.0 / weight.max(MIN_WEIGHT));
        ranked.push((is_near, regions.contains(region), draw, entry));
    };
    let own = members.own_state();
    if own.ready && !own.leaving {
        let entry = EntryAddress {
            address: identity.address,
            failure_domain: identity.failure_domain.clone(),
            instance: identity.instance.clone(),
        };
        add(entry, &identity.region, f64::from(own.spare_count));
    }
    for peer in members.peers().filter(|peer| peer.accepts_work()) {
        let is_suspect = peer.health == TargetHealth::Suspect;
        let factor = if is_suspect {
            SUSPECT_WEIGHT_FACTOR
        } else {
            1.0
        };
        let weight = f64::from(peer.spare_count) * peer.ramp_fraction * factor;
        let entry = EntryAddress {
            address: peer.address,
            failure_domain: peer.failure_domain.clone(),
            instance: peer.id.clone(),
        };
        add(entry, &peer.region, weight);
    }
    ranked.sort_by(|left, right| {
        let groups = (right.0, right.1).cmp(&(left.0, left.1));
        groups.then(right.2.total_cmp(&left.2))
    });
    let time_to_live_ms = MIN_TIME_TO_LIVE.as_millis() as u64..=MAX_TIME_TO_LIVE.as_millis() as u64;
    AddressAnswer {
        addresses: ranked.into_iter().map(|(_, _, _, entry)| entry).collect(),
        time_to_live: Duration::from_millis(random.random_range(time_to_live_ms)),
    }
}

fn regions_serving(members: &Members, model: Option<&ModelId>) -> BTreeSet<RegionId> {
    let Some(model) = model else {
        return BTreeSet::new();
    };
    let serving_targets = members.targets().filter(|target| {
        let mut models = target.report.models.iter();
        target.accepts_work() && models.any(|loaded| loaded.model == *model)
    });
    serving_targets
        .map(|target| target.region.clone())
        .collect()
}
