use super::*;

/// Loads reported by several instances, and their sum per target.
///
/// The sums are updated with each report. Computing them anew for each instance that queries them would
/// take time quadratic in the number of instances.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    /// Last reported loads of each instance, and when the report arrived.
    by_instance: HashMap<Arc<str>, (Vec<SharedLoad>, Duration)>,
    /// Sum over `by_instance` for each target. Invariant: contains no target that has no requests and
    /// that no instance reports as unreachable or slow.
    sums: HashMap<TargetId, SharedLoad>,
}

impl LoadTable {
    /// Replaces the loads of an instance, and drops those of instances that stopped reporting. Returns
    /// whether a target is reported as unreachable or slow for the first time.
    pub fn set(&mut self, now: Duration, instance: &Arc<str>, loads: Vec<SharedLoad>) -> bool {
        let is_new = |load: &SharedLoad| {
            let known = self.sums.get(&load.id);
            let is_newly_unreachable =
                load.silent_count > 0 && known.is_none_or(|sum| sum.silent_count == 0);
            let is_newly_slow = load.slow_count > 0 && known.is_none_or(|sum| sum.slow_count == 0);
            is_newly_unreachable || is_newly_slow
        };
        let has_new = loads.iter().any(is_new);
        self.expire(now);
        if let Some((loads, _)) = self.by_instance.remove(instance) {
            for load in &loads {
                subtract(&mut self.sums, load);
            }
        }
        for load in &loads {
            add(&mut self.sums, load);
        }
        self.by_instance.insert(instance.clone(), (loads, now));
        has_new
    }

    /// Returns the sum of `extra` and of the current loads of all instances except `instance`.
    pub fn sum_excluding<'a>(
        &mut self,
        now: Duration,
        instance: &Arc<str>,
        extra: impl IntoIterator<Item = &'a SharedLoad>,
    ) -> Vec<SharedLoad> {
        self.expire(now);
        let mut sums = self.sums.clone();
        for load in extra {
            add(&mut sums, load);
        }
        if let Some((loads, _)) = self.by_instance.get(instance) {
            for load in loads {
                subtract(&mut sums, load);
            }
        }
        sums.into_values().collect()
    }

    /// Returns the sum of `extra` and of the loads that the instances selected by `is_counted` reported
    /// within the last `age`.
    #[must_use]
    pub fn sum_of<'a>(
        &self,
        now: Duration,
        age: Duration,
        is_counted: impl Fn(&Arc<str>) -> bool,
        extra: impl IntoIterator<Item = &'a SharedLoad>,
    ) -> Vec<SharedLoad> {
        let mut sums = HashMap::new();
        for load in extra {
            add(&mut sums, load);
        }
        for (id, (loads, at)) in &self.by_instance {
            if now.saturating_sub(*at) > age || !is_counted(id) {
                continue;
            }
            for load in loads {
                add(&mut sums, load);
            }
        }
        sums.into_values().collect()
    }

    /// Drops the loads of instances that stopped reporting. Instances that moved to another parent
    /// report their loads there, so that they would be counted twice if this table kept them.
    fn expire(&mut self, now: Duration) {
        let oldest = now.saturating_sub(MAX_LOAD_AGE);
        let mut stale = Vec::new();
        self.by_instance.retain(|_, (loads, at)| {
            let is_kept = *at >= oldest;
            if !is_kept {
                stale.append(loads);
            }
            is_kept
        });
        for load in &stale {
            subtract(&mut self.sums, load);
        }
    }
}

fn add(sums: &mut HashMap<TargetId, SharedLoad>, load: &SharedLoad) {
    let Some(sum) = sums.get_mut(&load.id) else {
        sums.insert(load.id.clone(), load.clone());
        return;
    };
    sum.in_flight_count += load.in_flight_count;
    sum.silent_count += load.silent_count;
    sum.slow_count += load.slow_count;
    sum.slowness_sum += load.slowness_sum;
    sum.token_layers += load.token_layers;
}

/// Subtracts a load from the sums. A target without requests is removed or its `token_layers` set to
/// zero, so that rounding errors do not accumulate.
fn subtract(sums: &mut HashMap<TargetId, SharedLoad>, load: &SharedLoad) {
    let Some(sum) = sums.get_mut(&load.id) else {
        return;
    };
    sum.in_flight_count = sum.in_flight_count.saturating_sub(load.in_flight_count);
    sum.silent_count = sum.silent_count.saturating_sub(load.silent_count);
    sum.slow_count = sum.slow_count.saturating_sub(load.slow_count);
    sum.slowness_sum = (sum.slowness_sum - load.slowness_sum).max(0.0);
    sum.token_layers = (sum.token_layers - load.token_layers).max(0.0);
    if sum.in_flight_count > 0 {
        return;
    }
    sum.token_layers = 0.0;
    if sum.silent_count == 0 && sum.slow_count == 0 {
        sums.remove(&load.id);
    }
}
