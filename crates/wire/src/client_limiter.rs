use super::*;

/// Open connections of each client address, so that one client cannot use up all of them.
#[derive(Debug)]
pub(crate) struct Clients {
    counts: Mutex<HashMap<IpAddr, usize>>,
    limit: usize,
}

/// Place of one connection, free again when dropped.
#[derive(Debug)]
pub(crate) struct ClientPermit {
    address: IpAddr,
    clients: Arc<Clients>,
}

impl Clients {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            counts: Mutex::default(),
            limit,
        })
    }

    /// Place for one more connection; none when the address has as many as it may.
    pub(crate) fn admit(self: &Arc<Self>, peer: SocketAddr) -> Option<ClientPermit> {
        let address = client_address(peer);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(address).or_insert(0);
        if *count >= self.limit {
            return None;
        }
        *count += 1;
        Some(ClientPermit {
            address,
            clients: self.clone(),
        })
    }
}

impl Drop for ClientPermit {
    fn drop(&mut self) {
        let counts = &self.clients.counts;
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = counts.get_mut(&self.address) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.address);
        }
    }
}

/// Address that connections are counted under. A host with IPv6 usually has a whole /64 network.
fn client_address(peer: SocketAddr) -> IpAddr {
    match peer.ip().to_canonical() {
        IpAddr::V4(address) => IpAddr::V4(address),
        IpAddr::V6(address) => IpAddr::V6(Ipv6Addr::from_bits(address.to_bits() >> 64 << 64)),
    }
}
