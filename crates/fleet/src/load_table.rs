use super::*;

/// Age at which the load of an instance that no longer tells it is forgotten.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Loads of several instances, with their sum by target.
///
/// The sum is kept while loads change, as forming it anew for each of many instances that ask would
/// take time with the square of their number.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    /// Loads of each instance, and when it told them.
    by_instance: HashMap<Arc<str>, (Vec<SharedLoad>, Duration)>,
    /// Requests, and tokens times layers, of each target. Invariant: the sum over `by_instance`,
    /// without targets that have no requests.
    sums: HashMap<TargetId, (u32, f64)>,
}

impl LoadTable {
    /// Replaces the loads of an instance, and forgets instances that no longer tell theirs.
    pub fn set(&mut self, now: Duration, instance: &Arc<str>, loads: Vec<SharedLoad>) {
        let oldest = now.saturating_sub(LOAD_AGE);
        let mut gone = Vec::new();
        self.by_instance.retain(|known, (loads, at)| {
            let is_kept = known != instance && *at >= oldest;
            if !is_kept {
                gone.append(loads);
            }
            is_kept
        });
        for load in &gone {
            self.subtract(load);
        }
        for load in &loads {
            let sum = self.sums.entry(load.id.clone()).or_default();
            sum.0 += load.in_flight_count;
            sum.1 += load.token_layers;
        }
        self.by_instance.insert(instance.clone(), (loads, now));
    }

    /// Sum of the loads of all instances but one, and of `own`.
    #[must_use]
    pub fn without(&self, instance: &Arc<str>, own: &[SharedLoad]) -> Vec<SharedLoad> {
        let mut sums = self.sums.clone();
        for load in own {
            let sum = sums.entry(load.id.clone()).or_default();
            sum.0 += load.in_flight_count;
            sum.1 += load.token_layers;
        }
        if let Some((loads, _)) = self.by_instance.get(instance) {
            for load in loads {
                subtract(&mut sums, load);
            }
        }
        let sums = sums.into_iter();
        sums.map(|(id, (in_flight_count, token_layers))| SharedLoad {
            id,
            in_flight_count,
            token_layers,
        })
        .collect()
    }

    fn subtract(&mut self, load: &SharedLoad) {
        subtract(&mut self.sums, load);
    }
}

/// Takes a load out of the sums. A target without requests is dropped, so that no rounding errors
/// remain.
fn subtract(sums: &mut HashMap<TargetId, (u32, f64)>, load: &SharedLoad) {
    let Some(sum) = sums.get_mut(&load.id) else {
        return;
    };
    sum.0 = sum.0.saturating_sub(load.in_flight_count);
    sum.1 = (sum.1 - load.token_layers).max(0.0);
    if sum.0 == 0 {
        sums.remove(&load.id);
    }
}
