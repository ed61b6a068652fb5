use super::*;

/// What the list of targets says about an incarnation that is no longer in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedEnd {
    /// Another target that started later has its address.
    Replaced,
    /// A later incarnation of it is listed.
    Restarted,
    /// Its entry was removed. The target may have left, or its entry may have lapsed.
    Unlisted,
}

impl Fleet {
    /// Returns why an incarnation of a target is not or should not be listed; none while it is.
    #[must_use]
    pub fn listed_end(
        &self,
        (id, incarnation): (&str, Incarnation),
        address: SocketAddr,
    ) -> Option<ListedEnd> {
        let by_id = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        // A list that reverts to an older incarnation says nothing about a later one.
        if by_id.is_some_and(|state| state.target.incarnation > incarnation) {
            return Some(ListedEnd::Restarted);
        }
        let mut others = self.targets.values();
        let is_replaced = others.any(|state| {
            let target = &state.target;
            let is_later = incarnation != 0 && target.incarnation > incarnation;
            target.address == address && &*target.id != id && is_later
        });
        match (is_replaced, by_id) {
            (true, _) => Some(ListedEnd::Replaced),
            (false, None) => Some(ListedEnd::Unlisted),
            (false, Some(_)) => None,
        }
    }

    /// Records that an incarnation of a target has ended, although it may still be listed. Returns whether this is new.
    pub fn record_ended(&mut self, now: Duration, id: &str, incarnation: Incarnation) -> bool {
        let key = self.key_of(id, incarnation);
        let state = key.and_then(|key| self.targets.get_mut(key));
        state.is_some_and(|state| state.availability.record_ended(now))
    }

    /// Marks the targets at whose addresses others are listed that started later. Their entries will lapse.
    pub(crate) fn mark_replaced(&mut self) {
        let mut latest: HashMap<SocketAddr, Incarnation> = HashMap::new();
        for state in self.targets.values() {
            let incarnation = latest.entry(state.target.address).or_default();
            *incarnation = state.target.incarnation.max(*incarnation);
        }
        for state in self.targets.values_mut() {
            let target = &state.target;
            let latest = latest.get(&target.address).copied().unwrap_or_default();
            state.availability.is_replaced = target.incarnation != 0 && latest > target.incarnation;
        }
    }

    /// Whether an incarnation of a target is listed and has not announced that it is leaving.
    #[must_use]
    pub fn is_staying(&self, id: &str, incarnation: Incarnation) -> bool {
        let key = self.key_of(id, incarnation);
        let state = key.and_then(|key| self.targets.get(key));
        state.is_some_and(|state| !state.is_leaving())
    }
}
