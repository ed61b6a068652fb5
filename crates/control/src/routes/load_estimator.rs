use super::*;

/// Weight of a new observation in the exponential moving average.
const EWMA_WEIGHT: f64 = 0.3;

/// Time for which an ended request is kept if no newer report of its target arrives.
const ENDED_WORK_RETENTION: Duration = Duration::from_secs(10);

/// Estimates the load of targets between their reports: the last report, corrected by what this
/// instance started and ended since.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    by_target: BTreeMap<TargetId, TargetWork>,
}

#[derive(Clone, Debug, Default)]
struct TargetWork {
    /// Moving average of the time that this instance's requests stay at the target, in seconds;
    /// none before the first has ended.
    mean_s: Option<f64>,
    items: Vec<WorkItem>,
}

#[derive(Clone, Debug)]
struct WorkItem {
    ended_at: Option<Duration>,
    is_suspect: bool,
    request: RequestId,
    started_at: Duration,
}

impl LoadEstimator {
    /// Records that a request has left the targets of its route.
    pub fn end(&mut self, now: Duration, request: &RequestId, targets: &[TargetId]) {
        for target in targets {
            let Some(target_work) = self.by_target.get_mut(target) else {
                continue;
            };
            for work in &mut target_work.items {
                if work.request != *request || work.ended_at.is_some() {
                    continue;
                }
                work.ended_at = Some(now);
                let duration_s = now.saturating_sub(work.started_at).as_secs_f64();
                let mean_s = target_work.mean_s.get_or_insert(duration_s);
                *mean_s += EWMA_WEIGHT * (duration_s - *mean_s);
            }
        }
    }

    /// Whether a suspect request of this instance runs at a target.
    #[must_use]
    pub fn has_suspect(&self, target: &TargetId) -> bool {
        self.by_target.get(target).is_some_and(|target_work| {
            let mut running = target_work
                .items
                .iter()
                .filter(|work| work.ended_at.is_none());
            running.any(|work| work.is_suspect)
        })
    }

    /// Estimated number of requests at a target. Requests of this instance are counted exactly,
    /// those of others are taken from the report, less the ones that probably ended since. Requests
    /// that this instance dispatched since the report count `sharing_factor` times, because other
    /// instances that see the same report probably dispatch as many.
    #[must_use]
    pub fn load(&self, now: Duration, target: &Target, sharing_factor: f64) -> f64 {
        let reported = f64::from(target.report.running_count + target.report.waiting_count);
        let Some(target_work) = self.by_target.get(&target.id) else {
            return reported;
        };
        let (mut own_reported, mut remaining, mut started_since) = (0.0, 0.0, 0.0);
        for work in &target_work.items {
            let is_running = f64::from(u8::from(work.ended_at.is_none()));
            if work.started_at >= target.reported_at {
                started_since += is_running;
            } else if work
                .ended_at
                .is_none_or(|ended| ended >= target.reported_at)
            {
                own_reported += 1.0;
                remaining += is_running;
            }
        }
        // The fraction of the reported requests of this instance that still run approximates that
        // of the other instances. The term from the mean duration, which counts as one request,
        // prevails if this instance has few or none at the target.
        let age_s = now.saturating_sub(target.reported_at).as_secs_f64();
        let expected_remaining = target_work
            .mean_s
            .map_or(1.0, |mean_s| (-age_s / mean_s.max(0.001)).exp());
        let remaining_part = (remaining + expected_remaining) / (own_reported + 1.0);
        let others = (reported - own_reported).max(0.0) * remaining_part;
        others + remaining + started_since * sharing_factor.max(1.0)
    }

    /// Whether a target can take one more request without exceeding `limit`. If the free capacity
    /// is less than one request per sharing instance, each instance takes it with a probability of
    /// the free capacity over their number. The random value is a hash that changes only with a
    /// new report or a dispatch of this instance, so that asking again gives the same answer.
    #[must_use]
    pub fn has_capacity(
        &self,
        now: Duration,
        target: &Target,
        sharing_factor: f64,
        limit: f64,
        instance: &InstanceId,
    ) -> bool {
        let free = limit - self.load(now, target, sharing_factor);
        if free >= sharing_factor {
            return true;
        }
        if free <= 0.0 {
            return false;
        }
        let target_work = self.by_target.get(&target.id);
        let started = target_work.map_or(0, |target_work| {
            let recent = target_work
                .items
                .iter()
                .filter(|work| work.started_at >= target.reported_at);
            recent.count()
        });
        let mut hasher = DefaultHasher::new();
        (instance, &target.id, target.reported_at, started).hash(&mut hasher);
        let draw = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        draw < free / sharing_factor
    }

    /// Records that a request was sent to a target.
    pub fn start(
        &mut self,
        now: Duration,
        request: &RequestId,
        target: &TargetId,
        is_suspect: bool,
    ) {
        let target_work = self.by_target.entry(target.clone()).or_default();
        target_work.items.push(WorkItem {
            ended_at: None,
            is_suspect,
            request: request.clone(),
            started_at: now,
        });
    }

    /// Records that a request is no longer suspect, so that other suspect requests may join it.
    pub fn suspect_cleared(&mut self, request: &RequestId) {
        for target_work in self.by_target.values_mut() {
            for work in &mut target_work.items {
                work.is_suspect &= work.request != *request;
            }
        }
    }

    /// Drops requests that ended before the last report of their target, which no longer includes
    /// them, or more than `ENDED_WORK_RETENTION` ago. Also drops targets that no longer exist and
    /// run nothing.
    pub fn tick(&mut self, now: Duration, reported_at: impl Fn(&TargetId) -> Option<Duration>) {
        self.by_target.retain(|target, target_work| {
            let reported_at = reported_at(target);
            let oldest = now.saturating_sub(ENDED_WORK_RETENTION);
            target_work.items.retain(|work| {
                work.ended_at.is_none_or(|ended| {
                    ended >= oldest && reported_at.is_some_and(|reported| ended >= reported)
                })
            });
            reported_at.is_some() || !target_work.items.is_empty()
        });
    }
}
