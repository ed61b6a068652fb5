use super::*;

/// Loads of several instances, with their sum by target.
///
/// The sum is kept while loads change, as forming it anew for each of many instances that ask would
/// take time with the square of their number.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    /// Loads of each instance, and when it told them.
    by_instance: HashMap<Arc<str>, (Vec<SharedLoad>, Duration)>,
    /// Sum over `by_instance` for each target. Invariant: without targets that have no requests and
    /// are neither silent nor slow to any instance.
    sums: HashMap<TargetId, SharedLoad>,
}

impl LoadTable {
    /// Replaces the loads of an instance, and forgets instances that no longer tell theirs. Returns
    /// whether a target is silent or slow that was neither to any instance before.
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

    /// Sum of the loads of all instances but one that told theirs lately, and of `more`.
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

    /// Sum of the loads of some instances that were told within `age`, and of `more`.
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

    /// Forgets instances that no longer tell their loads. An instance that nobody asks any more would go
    /// on telling of those that asked it, which tell another one by now.
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

/// Takes a load out of the sums. A target without requests is dropped or set to nothing, so that no
/// rounding errors remain.
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
