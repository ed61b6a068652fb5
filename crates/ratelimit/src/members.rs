use super::*;

/// Time for which a new owner waits, within which all other instances have learned of the change. Until then
/// the previous owner may still give out permits.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Time for which an instance that has lost sight of more than half of the others is assumed to be cut off from
/// them. They go on using the whole limit.
const MINORITY_TIME: Duration = Duration::from_secs(15);

/// Instances among which the ownership of limits is divided, and the earlier lists of them.
#[derive(Clone, Debug)]
pub struct Members {
    /// Current members.
    current: Vec<InstanceId>,
    own: InstanceId,
    /// Lists that were replaced within `MINORITY_TIME`, and when.
    replaced: Vec<(Vec<InstanceId>, Duration)>,
}

impl Members {
    /// Creates the list of an instance that knows no other one.
    #[must_use]
    pub fn new(own: InstanceId) -> Self {
        Self {
            current: Vec::new(),
            own,
            replaced: Vec::new(),
        }
    }

    /// Replaces the list of instances.
    pub fn set(&mut self, now: Duration, members: Vec<InstanceId>) {
        if members == self.current {
            return;
        }
        let before = std::mem::replace(&mut self.current, members);
        self.replaced
            .retain(|(_, at)| is_within(now, *at, MINORITY_TIME));
        self.replaced.push((before, now));
    }

    /// Largest number of instances within `MINORITY_TIME`; at least 1.
    #[must_use]
    pub fn max_count(&self, now: Duration) -> usize {
        let replaced = self.replaced.iter();
        let recent = replaced.filter(|(_, at)| is_within(now, *at, MINORITY_TIME));
        let largest = recent.map(|(members, _)| members.len()).max();
        largest.unwrap_or_default().max(self.current.len()).max(1)
    }

    /// Owner of the limit of a target.
    #[must_use]
    pub fn owner(&self, target: &str) -> &InstanceId {
        owner_among(&self.current, target).unwrap_or(&self.own)
    }

    /// Whether this instance owns the limit of a target, did so by each list of the last `HANDOVER_TIME`, and
    /// has not lost sight of most instances. An instance that has never received a list is alone.
    #[must_use]
    pub fn is_established_owner(&self, now: Duration, target: &str) -> bool {
        let count = self.current.len().max(1);
        if *self.owner(target) != self.own || count * 2 < self.max_count(now) {
            return false;
        }
        self.replaced.iter().all(|(members, at)| {
            !is_within(now, *at, HANDOVER_TIME) || owner_among(members, target) == Some(&self.own)
        })
    }
}

fn is_within(now: Duration, at: Duration, time: Duration) -> bool {
    now.saturating_sub(at) < time
}

/// The instance with the highest hash together with the target. If an instance joins or leaves, only the
/// targets that it owns change their owner.
fn owner_among<'a>(members: &'a [InstanceId], target: &str) -> Option<&'a InstanceId> {
    members.iter().max_by_key(|member| {
        let mut hasher = DefaultHasher::new();
        (member, target).hash(&mut hasher);
        (hasher.finish(), *member)
    })
}
