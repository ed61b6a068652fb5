use super::*;

/// Calls to other instances. Each returns an error if no answer arrives within `call_ms`; the peer
/// may still have executed the call.
pub trait Peers: Send + Sync + 'static {
    /// Sends a part of a journal to its backup.
    fn append_journal(
        &self,
        address: SocketAddr,
        append: JournalAppend,
    ) -> BoxFuture<'static, Result<AppendAnswer, Error>>;

    /// Requests the status of a call from its owner.
    fn call_status(
        &self,
        address: SocketAddr,
        query: CallQuery,
    ) -> BoxFuture<'static, Result<OwnerStatus, Error>>;

    /// Requests the changes after a version.
    fn changes_since(
        &self,
        address: SocketAddr,
        version: ConfigVersion,
    ) -> BoxFuture<'static, Result<Changes, Error>>;

    /// Sends a heartbeat.
    fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Announces that an instance is about to stop.
    fn leave(
        &self,
        address: SocketAddr,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Sends changes in order of version.
    fn push_changes(
        &self,
        address: SocketAddr,
        records: Vec<ChangeRecord>,
    ) -> BoxFuture<'static, Result<(), Error>>;

    /// Requests a journal in order to continue its stream.
    fn take_journal(
        &self,
        address: SocketAddr,
        take: TakeRequest,
    ) -> BoxFuture<'static, Result<TakeAnswer, Error>>;
}

/// Handles calls of other instances that carry the shared secret. A future is dropped when the
/// caller's deadline passes.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles `Peers::append_journal`.
    fn append_journal(&self, append: JournalAppend) -> BoxFuture<'static, AppendAnswer>;

    /// Handles `Peers::call_status`.
    fn call_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus>;

    /// Handles `Peers::changes_since`.
    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes>;

    /// Handles `Peers::heartbeat`.
    fn heartbeat(&self, heartbeat: Heartbeat) -> BoxFuture<'static, ()>;

    /// Handles `Peers::leave`.
    fn leave(&self, instance: InstanceId, incarnation: Incarnation) -> BoxFuture<'static, ()>;

    /// Handles `Peers::push_changes`.
    fn push_changes(&self, records: Vec<ChangeRecord>) -> BoxFuture<'static, ()>;

    /// Handles `Peers::take_journal`.
    fn take_journal(&self, take: TakeRequest) -> BoxFuture<'static, TakeAnswer>;
}
