use super::*;

/// Limits the open connections per client address, so that a single client cannot use up all
/// connections of the server.
#[derive(Debug)]
pub(crate) struct ClientLimiter {
    connection_counts: Mutex<HashMap<IpAddr, usize>>,
    limit: usize,
}

/// Permission for one connection of a client address, released when dropped.
#[derive(Debug)]
pub(crate) struct ClientPermit {
    address: IpAddr,
    limiter: Arc<ClientLimiter>,
}

impl ClientLimiter {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            connection_counts: Mutex::default(),
            limit,
        })
    }

    /// Returns a permit for one more connection, or none if the address has reached its limit.
    pub(crate) fn try_acquire(self: &Arc<Self>, peer: SocketAddr) -> Option<ClientPermit> {
        let address = counted_address(peer);
        let mut connection_counts = self
            .connection_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = connection_counts.entry(address).or_insert(0);
        if *count >= self.limit {
            return None;
        }
        *count += 1;
        Some(ClientPermit {
            address,
            limiter: self.clone(),
        })
    }
}

impl Drop for ClientPermit {
    fn drop(&mut self) {
        let connection_counts = &self.limiter.connection_counts;
        let mut connection_counts = connection_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(count) = connection_counts.get_mut(&self.address) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            connection_counts.remove(&self.address);
        }
    }
}

/// Returns the address under which a connection is counted. IPv6 addresses are counted by /64
/// network, because a single IPv6 host usually has a whole one.
fn counted_address(peer: SocketAddr) -> IpAddr {
    match peer.ip().to_canonical() {
        IpAddr::V4(address) => IpAddr::V4(address),
        IpAddr::V6(address) => IpAddr::V6(Ipv6Addr::from_bits(address.to_bits() >> 64 << 64)),
    }
}
