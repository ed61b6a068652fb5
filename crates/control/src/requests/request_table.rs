use super::*;

new_key_type! {
    /// Handle of one request. It stays invalid after the request has ended, even if its memory is
    /// reused.
    pub(crate) struct RequestKey;
}

/// Requests of this instance that have not ended, by handle and by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    /// Invariant: holds exactly the keys of `entries`.
    keys: BTreeMap<RequestId, RequestKey>,
    entries: SlotMap<RequestKey, ActiveRequest>,
}

impl RequestTable {
    pub(crate) fn contains_key(&self, request: &RequestId) -> bool {
        self.keys.contains_key(request)
    }

    pub(crate) fn get(&self, request: &RequestId) -> Option<&ActiveRequest> {
        self.entries.get(*self.keys.get(request)?)
    }

    pub(crate) fn get_mut(&mut self, request: &RequestId) -> Option<&mut ActiveRequest> {
        self.entries.get_mut(*self.keys.get(request)?)
    }

    pub(crate) fn insert(&mut self, request: RequestId, entry: ActiveRequest) {
        self.remove(&request);
        let key = self.entries.insert(entry);
        self.keys.insert(request, key);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    pub(crate) fn key(&self, request: &RequestId) -> Option<RequestKey> {
        self.keys.get(request).copied()
    }

    /// Ids in sorted order, so that processing is deterministic.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &RequestId> {
        self.keys.keys()
    }

    pub(crate) fn remove(&mut self, request: &RequestId) -> Option<ActiveRequest> {
        self.entries.remove(self.keys.remove(request)?)
    }

    /// Id of the request with this handle; none if the request has ended.
    pub(crate) fn request(&self, key: RequestKey) -> Option<&RequestId> {
        self.entries.get(key).map(|entry| &entry.request)
    }

    /// Requests, sorted by id.
    pub(crate) fn values(&self) -> impl Iterator<Item = &ActiveRequest> {
        self.keys.values().filter_map(|key| self.entries.get(*key))
    }
}
