use super::*;

/// Open connections of each client address, so that one client cannot use up all of them.
#[derive(Debug)]
pub(crate) struct ClientLimiter {
    connection_counts: Mutex<HashMap<IpAddr, usize>>,
    limit: usize,
}

/// Place of one connection, free again when dropped.
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

    /// Place for one more connection; none when the address has as many as it may.
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

/// Address that connections are counted under. A host with IPv6 usually has a whole /64 network.
fn counted_address(peer: SocketAddr) -> IpAddr {
    match peer.ip().to_canonical() {
        IpAddr::V4(address) => IpAddr::V4(address),
        IpAddr::V6(address) => IpAddr::V6(Ipv6Addr::from_bits(address.to_bits() >> 64 << 64)),
    }
}
