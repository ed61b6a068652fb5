use super::*;

/// Lowest limit that is applied, in requests per second. The end of a limit is announced only in answers, so
/// without any request it would never be noticed.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Part of a limit that all instances together use while the owner gives out no permits. The owner may be
/// out of reach of some instances only, so this comes on top of the whole limit.
const FALLBACK_SHARE: f64 = 0.5;
/// Time without a request after which an instance starts its share anew, without permits. Otherwise the
/// first requests of all instances would be sent at the same time.
const FALLBACK_PAUSE: Duration = Duration::from_secs(5);
/// Time for which an owner that did not answer is not asked.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Time after its last use after which a schedule is removed.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Permits of one limit.
#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: Incarnation,
    schedule: PermitSchedule,
    used_at: Duration,
}

/// Permits that this instance gives out as the owner of limits, or to itself while an owner does not answer.
#[derive(Clone, Debug)]
pub struct PermitTable {
    /// Own shares of limits whose owner gives out no permits.
    fallback: HashMap<TargetId, Entry>,
    /// Members and owners.
    pub members: Members,
    owned: HashMap<TargetId, Entry>,
    /// Until when each owner that did not answer is not asked.
    unreachable: HashMap<InstanceId, Duration>,
}

impl PermitTable {
    /// Creates the table of an instance that knows no other one.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        Self {
            fallback: HashMap::new(),
            members: Members::new(own),
            owned: HashMap::new(),
            unreachable: HashMap::new(),
        }
    }

    /// Takes a permit of a limit that this instance owns; none if it does not, or has owned it only for a
    /// short time.
    pub fn take_owned(
        &mut self,
        now: Duration,
        query: &PermitQuery,
        rate_per_s: f64,
    ) -> Option<Permit> {
        if !self.members.is_established_owner(now, &query.target) {
            return None;
        }
        let rate_per_s = rate_per_s.max(MIN_LIMIT_PER_S);
        expire(&mut self.owned, now);
        let entry = self.owned.entry(query.target.clone());
        let entry = entry.or_insert_with(|| Entry {
            incarnation: query.incarnation,
            schedule: PermitSchedule::new(now, rate_per_s),
            used_at: now,
        });
        if entry.incarnation != query.incarnation {
            entry.incarnation = query.incarnation;
            entry.schedule = PermitSchedule::new(now, rate_per_s);
        }
        entry.used_at = now;
        entry.schedule.set_rate(now, rate_per_s);
        Some(entry.schedule.take(now, query.max_wait))
    }

    /// Takes a permit of this instance's own share, which it uses while the owner gives out none.
    pub fn take_fallback(&mut self, now: Duration, query: &PermitQuery, rate_per_s: f64) -> Permit {
        let rate_per_s = rate_per_s.max(MIN_LIMIT_PER_S);
        let share_per_s = rate_per_s * FALLBACK_SHARE / self.members.max_count(now) as f64;
        let empty = || PermitSchedule::empty(now, share_per_s);
        expire(&mut self.fallback, now);
        let entry = self.fallback.entry(query.target.clone());
        let entry = entry.or_insert_with(|| Entry {
            incarnation: query.incarnation,
            schedule: empty(),
            used_at: now,
        });
        let is_paused = now.saturating_sub(entry.used_at) > FALLBACK_PAUSE;
        if is_paused || entry.incarnation != query.incarnation {
            entry.incarnation = query.incarnation;
            entry.schedule = empty();
        }
        entry.used_at = now;
        entry.schedule.set_rate(now, share_per_s);
        entry.schedule.take(now, query.max_wait)
    }

    /// Records that an instance did not answer.
    pub fn record_unreachable(&mut self, now: Duration, instance: &InstanceId) {
        self.unreachable.retain(|_, until| now < *until);
        self.unreachable
            .insert(instance.clone(), now + UNREACHABLE_TIME);
    }

    /// Whether an instance may be asked: it has not failed to answer just before.
    #[must_use]
    pub fn is_reachable(&self, now: Duration, instance: &str) -> bool {
        let until = self.unreachable.get(instance);
        until.is_none_or(|until| now >= *until)
    }
}

fn expire(entries: &mut HashMap<TargetId, Entry>, now: Duration) {
    entries.retain(|_, entry| now.saturating_sub(entry.used_at) < RETENTION_TIME);
}
