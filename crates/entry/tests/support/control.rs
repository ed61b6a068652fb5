use super::*;

impl Control for FakeControl {
    fn addresses(&self, query: AddressQuery) -> BoxFuture<'static, Option<AddressAnswer>> {
        let answer = AddressAnswer {
            addresses: vec![EntryAddress {
                address: SocketAddr::from(([10, 0, 0, 1], 80)),
                failure_domain: query.failure_domain.unwrap_or_else(|| "z".into()),
                instance: "e".into(),
            }],
            time_to_live: Duration::from_millis(4_500),
        };
        async { Some(answer) }.boxed()
    }

    fn changes_since(&self, _: u64) -> BoxFuture<'static, Changes> {
        async { Changes::Records(Vec::new()) }.boxed()
    }

    fn owner_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        let status = match query {
            CallQuery::Key { .. } => OwnerStatus::Running,
            CallQuery::Nonce(_) => OwnerStatus::UnknownClaim,
        };
        async { status }.boxed()
    }

    fn report(&self, event: Event) {
        let _ = self.0.send(event);
    }

    fn status(&self) -> BoxFuture<'static, Option<Status>> {
        let status = Status {
            config_version: 7,
            in_force_count: Some(2),
            instance_count: Some(3),
            instances: Vec::new(),
            ready: true,
            targets: Vec::new(),
        };
        async { Some(status) }.boxed()
    }
}

impl Table for FakePlatform {
    fn execute(&self, _: StoreRequest) -> BoxFuture<'static, Result<StoreReply, StoreFailure>> {
        async { Err(StoreFailure::Unavailable) }.boxed()
    }
}

impl Listings for FakePlatform {
    fn read(&self) -> BoxFuture<'static, Result<Vec<Listing>, StoreFailure>> {
        let mut listings = Vec::new();
        for instance in ["a", "b", "c", "d"] {
            let peer_address = peer_address(instance);
            listings.push(listing(instance, ListingRole::Entry { peer_address }));
        }
        let operations = [
            ("book", OperationKind::NonRepeatable),
            ("price", OperationKind::Idempotent),
        ];
        let operations = operations.map(|(name, kind)| ServiceOperation {
            kind,
            name: name.into(),
        });
        let role = ListingRole::Service {
            operations: operations.into(),
            service: "travel".into(),
        };
        listings.push(listing("s", role));
        async { Ok(listings) }.boxed()
    }

    fn register(&self, _: Listing) -> BoxFuture<'static, Result<(), StoreFailure>> {
        async { Ok(()) }.boxed()
    }
}
