use super::*;

/// Queries for the shared state of another instance.
#[tarpc::service]
pub(crate) trait RelayService {
    /// Returns the state that is newer than the requester's; none if this instance has no state yet
    /// or is leaving.
    async fn ask(query: Query) -> Option<RelayReply>;

    /// Exchanges crash victims; none if this instance is leaving.
    async fn exchange_victims(query: VictimQuery) -> Option<VictimAnswer>;

    /// Asks for a permit for a request to a target that limits its requests.
    async fn take_permit(query: PermitQuery) -> PermitReply;

    /// Exchanges crash victims of all phases; none if this instance is leaving. Behind the calls that earlier
    /// versions know, as calls are encoded by position.
    async fn exchange_phased_victims(query: PhasedVictimQuery) -> Option<PhasedVictimAnswer>;
}

#[derive(Clone)]
pub(crate) struct Service(pub(crate) Arc<RelayHandler>);

impl RelayService for Service {
    async fn ask(self, _context: Context, query: Query) -> Option<RelayReply> {
        self.0.answer(query).await
    }

    async fn exchange_victims(self, _context: Context, query: VictimQuery) -> Option<VictimAnswer> {
        self.0.exchange_victims(query).await
    }

    async fn take_permit(self, _context: Context, query: PermitQuery) -> PermitReply {
        self.0.take_permit(&query)
    }

    async fn exchange_phased_victims(
        self,
        _context: Context,
        query: PhasedVictimQuery,
    ) -> Option<PhasedVictimAnswer> {
        self.0.exchange_phased_victims(query).await
    }
}
