use super::*;

/// Calls of instances to the leader.
#[tarpc::service]
pub(crate) trait RelayService {
    /// Answers with what is newer than what the asking instance knows; none if this one does not
    /// lead.
    async fn ask(query: Query) -> Option<Answer>;
}

#[derive(Clone)]
pub(crate) struct Service(pub(crate) Arc<RelayHandler>);

impl RelayService for Service {
    async fn ask(self, _context: Context, query: Query) -> Option<Answer> {
        self.0.answer(query).await
    }
}
