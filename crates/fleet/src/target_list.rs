use super::*;

/// Time within which targets whose entries lapsed register again, counted from when the listing service
/// answers again.
const RELIST_TIME: Duration = Duration::from_secs(2);
/// Outage of the listing service after which entries may have lapsed: three heartbeats of one second.
const LAPSE_TIME: Duration = Duration::from_secs(3);

/// Listed targets, and those whose entries may merely have lapsed.
///
/// During an outage of the listing service, targets cannot renew their entries. An entry that is missing
/// right after the outage may have lapsed, so its target stays in use. One that is still missing after
/// `RELIST_TIME` is removed.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    /// Time of the last answer, on a clock that runs only while this instance can observe the service.
    answered_at: Option<Duration>,
    listed: HashMap<TargetId, Target>,
    /// Targets whose entries may have lapsed, and when they count as removed.
    lapsed: HashMap<TargetId, (Target, Duration)>,
    /// When the service last answered again after an outage in which entries may have lapsed, or after it was
    /// restored from an older copy.
    returned_at: Option<Duration>,
}

impl TargetList {
    /// Records that the listing service answered. Returns the length of the outage before, if entries may
    /// have lapsed in it.
    ///
    /// `observed` is the time in which this instance could observe the service so far. Only that part of the
    /// time since the last answer counts as an outage: while this instance itself was stopped or cut off, the
    /// service may have been available to the targets.
    pub fn record_answer(&mut self, now: Duration, observed: Duration) -> Option<Duration> {
        let last = self.answered_at.replace(observed)?;
        let outage = observed.saturating_sub(last);
        if outage <= LAPSE_TIME {
            return None;
        }
        self.returned_at = Some(now);
        Some(outage)
    }

    /// Records that the list was restored from an older copy, in which entries may be missing.
    pub fn record_restored(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Replaces the whole state by the list that another instance read while this one did not read the
    /// service. Targets that are not in it count as removed, however long ago this instance last read.
    /// `read_at` is the time of that read, on the clock of `observed` in `record_answer`. An outage that this
    /// instance has seen itself still counts.
    pub fn reset(&mut self, read_at: Duration, targets: Vec<Target>) {
        *self = Self {
            answered_at: Some(read_at),
            returned_at: self.returned_at,
            ..Self::default()
        };
        for target in targets {
            self.upsert(target);
        }
    }

    /// Adds or replaces an entry. A target that is leaving does not stay after all, so an entry that says so is
    /// older, unless the target has restarted.
    pub fn upsert(&mut self, mut target: Target) {
        let known = self.listed.get(&target.id);
        let is_same =
            |known: &&Target| target.incarnation != 0 && known.incarnation == target.incarnation;
        target.is_leaving |= known.filter(is_same).is_some_and(|known| known.is_leaving);
        self.lapsed.remove(&target.id);
        self.listed.insert(target.id.clone(), target);
    }

    /// Removes an entry. Its target stays in use for a while if the entry may merely have lapsed.
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

    /// Replaces all entries. Those that are not in `targets` are treated as by `remove`.
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

    /// Returns the targets to use, sorted by id.
    pub fn listing(&mut self, now: Duration) -> Vec<Target> {
        self.lapsed.retain(|_, (_, end)| now < *end);
        let mut listing: Vec<Target> = self.listed.values().cloned().collect();
        listing.extend(self.lapsed.values().map(|(target, _)| target.clone()));
        listing.sort_by(|one, other| one.id.cmp(&other.id));
        listing
    }
}
