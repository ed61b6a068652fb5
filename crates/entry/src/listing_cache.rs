use super::*;

/// Last version of the platform's list that was read, for lookups by the traffic threads.
#[derive(Debug, Default)]
pub(crate) struct ListingCache {
    listings: Mutex<Vec<Listing>>,
}

impl ListingCache {
    /// Chooses a random instance as backup for a stream, from another failure domain than `domain`
    /// if possible. Skips `own`, leaving instances and those in `failed`.
    pub(crate) fn choose_backup(
        &self,
        own: &InstanceId,
        domain: &FailureDomain,
        failed: &HashSet<InstanceId>,
    ) -> Option<(InstanceId, SocketAddr)> {
        let mut same_domain = Vec::new();
        let mut other_domains = Vec::new();
        for listing in lock(&self.listings).iter() {
            let ListingRole::Entry { peer_address } = listing.role else {
                continue;
            };
            if listing.leaving || listing.id == *own || failed.contains(&listing.id) {
                continue;
            }
            let candidates = if listing.failure_domain == *domain {
                &mut same_domain
            } else {
                &mut other_domains
            };
            candidates.push((listing.id.clone(), peer_address));
        }
        let candidates = if other_domains.is_empty() {
            same_domain
        } else {
            other_domains
        };
        candidates.choose(&mut rand::rng()).cloned()
    }

    /// Returns the kind of an operation of a service. The outer option is none if no listed target
    /// provides the service, and the inner one if none provides the operation.
    pub(crate) fn operation_kind(
        &self,
        service: &ServiceId,
        operation: &str,
    ) -> Option<Option<OperationKind>> {
        let mut is_listed = false;
        for listing in lock(&self.listings).iter() {
            let ListingRole::Service {
                operations,
                service: listed,
            } = &listing.role
            else {
                continue;
            };
            if listed != service {
                continue;
            }
            is_listed = true;
            let offered = operations
                .iter()
                .find(|offered| *offered.name == *operation);
            if let Some(offered) = offered {
                return Some(Some(offered.kind));
            }
        }
        is_listed.then_some(None)
    }

    /// Returns the peer address of an instance; none if it is not listed.
    pub(crate) fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        for listing in lock(&self.listings).iter() {
            if let ListingRole::Entry { peer_address } = listing.role
                && listing.id == *instance
            {
                return Some(peer_address);
            }
        }
        None
    }

    /// Returns the peer addresses of all listed instances except `own`.
    pub(crate) fn peer_addresses(&self, own: &InstanceId) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for listing in lock(&self.listings).iter() {
            if let ListingRole::Entry { peer_address } = listing.role
                && listing.id != *own
            {
                addresses.push(peer_address);
            }
        }
        addresses
    }

    /// Replaces the cached list.
    pub(crate) fn update(&self, listings: &[Listing]) {
        *lock(&self.listings) = listings.to_vec();
    }
}
