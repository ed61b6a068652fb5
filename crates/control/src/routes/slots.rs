use super::*;

/// Weight of one observation in the moving mean.
const WEIGHT: f64 = 0.3;

/// Time for which ended work is remembered when no newer report of its target arrives.
const MEMORY: Duration = Duration::from_secs(10);

/// One's own work at targets, by which lagging reports are corrected.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    held: BTreeMap<TargetId, Held>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// Mean time that own work stays, in seconds.
    mean_s: Option<f64>,
    work: Vec<Work>,
}

#[derive(Clone, Debug)]
struct Work {
    ended_at: Option<Duration>,
    is_suspect: bool,
    request: RequestId,
    started_at: Duration,
}

impl Slots {
    /// Notes that a request left all targets of its route.
    pub fn end(&mut self, now: Duration, request: &RequestId, targets: &[TargetId]) {
        for target in targets {
            let Some(held) = self.held.get_mut(target) else {
                continue;
            };
            for work in &mut held.work {
                if work.request != *request || work.ended_at.is_some() {
                    continue;
                }
                work.ended_at = Some(now);
                let stayed_s = now.saturating_sub(work.started_at).as_secs_f64();
                let mean_s = held.mean_s.get_or_insert(stayed_s);
                *mean_s += WEIGHT * (stayed_s - *mean_s);
            }
        }
    }

    /// Whether a suspect runs at a target.
    #[must_use]
    pub fn has_suspect(&self, target: &TargetId) -> bool {
        self.held.get(target).is_some_and(|held| {
            let mut running = held.work.iter().filter(|work| work.ended_at.is_none());
            running.any(|work| work.is_suspect)
        })
    }

    /// Estimated number of requests at a target: own ones exactly, others from the report, less
    /// those that probably ended since. Own dispatches since the report count `factor` times, as
    /// other instances that see the same report probably dispatch alike.
    #[must_use]
    pub fn load(&self, now: Duration, target: &Target, factor: f64) -> f64 {
        let reported = f64::from(target.report.running_count + target.report.waiting_count);
        let Some(held) = self.held.get(&target.id) else {
            return reported;
        };
        let (mut in_report, mut remaining, mut since) = (0.0, 0.0, 0.0);
        for work in &held.work {
            let is_running = f64::from(u8::from(work.ended_at.is_none()));
            if work.started_at >= target.reported_at {
                since += is_running;
            } else if work
                .ended_at
                .is_none_or(|ended| ended >= target.reported_at)
            {
                in_report += 1.0;
                remaining += is_running;
            }
        }
        // The part of own work that remains tells what remains of the work of others; where there
        // is little own work, the mean stay does.
        let age_s = now.saturating_sub(target.reported_at).as_secs_f64();
        let by_stay = held
            .mean_s
            .map_or(1.0, |mean_s| (-age_s / mean_s.max(0.001)).exp());
        let remaining_part = (remaining + by_stay) / (in_report + 1.0);
        let others = (reported - in_report).max(0.0) * remaining_part;
        others + remaining + since * factor.max(1.0)
    }

    /// Whether a target has a place below `limit`. When less is free than what the other
    /// instances would take together, each takes it with its part of the probability: drawn once
    /// per report and own dispatch, so that asking again gives the same answer.
    #[must_use]
    pub fn has_place(
        &self,
        now: Duration,
        target: &Target,
        factor: f64,
        limit: f64,
        instance: &InstanceId,
    ) -> bool {
        let free = limit - self.load(now, target, factor);
        if free >= factor {
            return true;
        }
        if free <= 0.0 {
            return false;
        }
        let held = self.held.get(&target.id);
        let started = held.map_or(0, |held| {
            let recent = held
                .work
                .iter()
                .filter(|work| work.started_at >= target.reported_at);
            recent.count()
        });
        let mut hasher = DefaultHasher::new();
        (instance, &target.id, target.reported_at, started).hash(&mut hasher);
        let draw = (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64;
        draw < free / factor
    }

    /// Notes that a request was sent to a target.
    pub fn start(
        &mut self,
        now: Duration,
        request: &RequestId,
        target: &TargetId,
        is_suspect: bool,
    ) {
        let held = self.held.entry(target.clone()).or_default();
        held.work.push(Work {
            ended_at: None,
            is_suspect,
            request: request.clone(),
            started_at: now,
        });
    }

    /// Ends the separation of a suspect that was cleared.
    pub fn cleared(&mut self, request: &RequestId) {
        for held in self.held.values_mut() {
            for work in &mut held.work {
                work.is_suspect &= work.request != *request;
            }
        }
    }

    /// Forgets ended work that every newer report leaves out.
    pub fn tick(&mut self, now: Duration, reported_at: impl Fn(&TargetId) -> Option<Duration>) {
        self.held.retain(|target, held| {
            let reported_at = reported_at(target);
            let oldest = now.saturating_sub(MEMORY);
            held.work.retain(|work| {
                work.ended_at.is_none_or(|ended| {
                    ended >= oldest && reported_at.is_some_and(|reported| ended >= reported)
                })
            });
            reported_at.is_some() || !held.work.is_empty()
        });
    }
}
