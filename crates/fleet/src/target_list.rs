use super::*;

/// Time after a listing service answers again in which targets whose entries lapsed meanwhile list
/// themselves again.
const RELIST_TIME: Duration = Duration::from_secs(2);
/// Silence of the listing service in which entries may lapse: three heartbeats of a second.
const LAPSE_TIME: Duration = Duration::from_secs(3);

/// Listed targets, kept apart from those whose entries may only have lapsed.
///
/// While the listing service is away, targets cannot renew their entries. An entry that is missing
/// right after its return says nothing yet; one that is still missing after `RELIST_TIME` is gone.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    answered_at: Option<Duration>,
    listed: HashMap<TargetId, Target>,
    /// Targets that may have lapsed, with the time until they are taken as gone.
    lapsed: HashMap<TargetId, (Target, Duration)>,
    /// When the service last answered again after entries may have lapsed.
    returned_at: Option<Duration>,
}

impl TargetList {
    /// Notes that the service answered.
    pub fn record_answer(&mut self, now: Duration) {
        let last = self.answered_at.replace(now);
        if last.is_some_and(|last| now.saturating_sub(last) > LAPSE_TIME) {
            self.returned_at = Some(now);
        }
    }

    /// Starts anew from the list that another instance kept while this one did not read. What is not
    /// in it is gone, however long ago this instance has read.
    pub fn reset(&mut self, now: Duration, targets: Vec<Target>) {
        *self = Self {
            answered_at: Some(now),
            ..Self::default()
        };
        for target in targets {
            self.upsert(target);
        }
    }

    /// Takes over an entry.
    pub fn upsert(&mut self, target: Target) {
        self.lapsed.remove(&target.id);
        self.listed.insert(target.id.clone(), target);
    }

    /// Notes that an entry is gone.
    pub fn remove(&mut self, now: Duration, id: &str) {
        let Some(target) = self.listed.remove(id) else {
            return;
        };
        let Some(end) = self.returned_at.map(|at| at + RELIST_TIME) else {
            return;
        };
        if now < end && !target.is_leaving {
            self.lapsed.insert(target.id.clone(), (target, end));
        }
    }

    /// Replaces all entries.
    pub fn replace(&mut self, now: Duration, targets: Vec<Target>) {
        let ids: BTreeSet<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        let known: Vec<TargetId> = self.listed.keys().cloned().collect();
        for id in known {
            if !ids.contains(&id) {
                self.remove(now, &id);
            }
        }
        for target in targets {
            self.upsert(target);
        }
    }

    /// Targets to use, in the order of their ids.
    pub fn listing(&mut self, now: Duration) -> Vec<Target> {
        self.lapsed.retain(|_, (_, end)| now < *end);
        let mut listing: Vec<Target> = self.listed.values().cloned().collect();
        listing.extend(self.lapsed.values().map(|(target, _)| target.clone()));
        listing.sort_by(|one, other| one.id.cmp(&other.id));
        listing
    }
}
