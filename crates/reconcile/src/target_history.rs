use super::*;

/// Largest number of removed targets whose removal is remembered. An instance that is further
/// behind receives the whole list.
const MAX_REMOVED_COUNT: usize = 1_024;

/// List of targets with a history, from which the changes since an earlier revision are derived.
#[derive(Clone, Debug)]
pub struct TargetHistory {
    /// Revision at which each target was last added, changed or removed.
    changed_at: HashMap<Arc<str>, u64>,
    /// Oldest revision since which all changes are known.
    complete_from: u64,
    /// Current revision of the list.
    revision: u64,
    /// Current targets. Invariant: ordered by id.
    targets: Vec<Target>,
}

impl TargetHistory {
    /// Creates an empty list. Processes start with different values of `first`, so that their
    /// revisions are not confused.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self {
            changed_at: HashMap::new(),
            complete_from: first,
            revision: first,
            targets: Vec::new(),
        }
    }

    /// Current targets, ordered by id.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Revision of the list; grows with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the list. Returns the previous list if it differs.
    pub fn replace(&mut self, mut targets: Vec<Target>) -> Option<Vec<Target>> {
        targets.sort_by(|one, other| one.id.cmp(&other.id));
        if targets == self.targets {
            return None;
        }
        self.revision += 1;
        let before = std::mem::replace(&mut self.targets, targets);
        let known: HashMap<&str, &Target> = before.iter().map(|one| (&*one.id, one)).collect();
        for target in &self.targets {
            if known.get(&*target.id).is_none_or(|old| *old != target) {
                self.changed_at.insert(target.id.clone(), self.revision);
            }
        }
        let listed: HashSet<&str> = self.targets.iter().map(|one| &*one.id).collect();
        for target in &before {
            if !listed.contains(&*target.id) {
                self.changed_at.insert(target.id.clone(), self.revision);
            }
        }
        if self.changed_at.len() > self.targets.len() + MAX_REMOVED_COUNT {
            self.changed_at.retain(|id, _| listed.contains(&**id));
            self.complete_from = self.revision;
        }
        Some(before)
    }

    /// Applies a change to the list. Returns the previous list if it differs.
    pub fn apply(&mut self, change: TargetChange) -> Option<Vec<Target>> {
        let (changed, removed) = match change {
            TargetChange::All(targets) => return self.replace(targets),
            TargetChange::Some(changed, removed) => (changed, removed),
        };
        let replaced: HashSet<&str> = changed.iter().map(|one| &*one.id).collect();
        let is_kept =
            |target: &&Target| !replaced.contains(&*target.id) && !removed.contains(&target.id);
        let kept = self.targets.iter().filter(is_kept).cloned();
        let targets = kept.chain(changed.iter().cloned()).collect();
        self.replace(targets)
    }

    /// Changes after `revision`; the whole list if those changes are not known.
    #[must_use]
    pub fn since(&self, revision: u64) -> TargetChange {
        if !(self.complete_from..=self.revision).contains(&revision) {
            return TargetChange::All(self.targets.clone());
        }
        let is_later = |id: &Arc<str>| self.changed_at.get(id).is_some_and(|at| *at > revision);
        let changed: Vec<Target> = self
            .targets
            .iter()
            .filter(|target| is_later(&target.id))
            .cloned()
            .collect();
        let listed: HashSet<&str> = self.targets.iter().map(|one| &*one.id).collect();
        let mut removed = Vec::new();
        for (id, at) in &self.changed_at {
            if *at > revision && !listed.contains(&**id) {
                removed.push(id.clone());
            }
        }
        removed.sort_unstable();
        TargetChange::Some(changed, removed)
    }
}
