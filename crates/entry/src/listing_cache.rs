use super::*;

/// The platform's last list, for what the traffic threads need of it.
#[derive(Debug, Default)]
pub(crate) struct ListingCache {
    listings: Mutex<Vec<Listing>>,
}

impl ListingCache {
    /// Backup for a stream, preferring another failure domain than `domain`.
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

    /// Kind of a service's operation. The outer value is none when no listed target offers the
    /// service, the inner one when none offers the operation.
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

    /// Address for peer messages of an instance.
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

    /// Addresses for peer messages of all instances but `own`.
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

    /// Replaces the list.
    pub(crate) fn update(&self, listings: &[Listing]) {
        *lock(&self.listings) = listings.to_vec();
    }
}
