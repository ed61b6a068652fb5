use super::*;

/// Calls of instances to those that know more.
#[tarpc::service]
pub(crate) trait RelayService {
    /// Answers with what is newer than what the asking instance knows; none if this one knows nothing
    /// yet or is leaving.
    async fn ask(query: Query) -> Option<RelayReply>;
}

#[derive(Clone)]
pub(crate) struct Service(pub(crate) Arc<RelayHandler>);

impl RelayService for Service {
    async fn ask(self, _context: Context, query: Query) -> Option<RelayReply> {
        self.0.answer(query).await
    }
}
