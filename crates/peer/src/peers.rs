use super::*;

/// Calls to other instances. Each returns an error when no answer came within the settings' limit;
/// the peer may still have carried it out.
pub trait Peers: Send + Sync + 'static {
    /// Sends a part of a journal to its backup.
    fn append_journal(
        &self,
        address: SocketAddr,
        append: JournalAppend,
    ) -> BoxFuture<'static, Result<AppendAnswer, Error>>;

    /// Asks the owner of a call what became of it.
    fn call_status(
        &self,
        address: SocketAddr,
        query: CallQuery,
    ) -> BoxFuture<'static, Result<OwnerStatus, Error>>;

    /// Asks for the changes after a version.
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

    /// Says that an instance is about to stop.
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

    /// Asks for a journal, to go on with its stream. With `only_idle`, a stream that a caller is
    /// reading stays where it is.
    fn take_journal(
        &self,
        address: SocketAddr,
        request: RequestId,
        account: AccountId,
        taker: Holder,
        only_idle: bool,
    ) -> BoxFuture<'static, Result<TakeAnswer, Error>>;
}

/// Serves calls of other instances that carried the shared secret. A future is dropped when the
/// caller's deadline passes.
pub trait PeerHandler: Send + Sync + 'static {
    /// Serves `Peers::append_journal`.
    fn append_journal(&self, append: JournalAppend) -> BoxFuture<'static, AppendAnswer>;

    /// Serves `Peers::call_status`.
    fn call_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus>;

    /// Serves `Peers::changes_since`.
    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes>;

    /// Serves `Peers::heartbeat`.
    fn heartbeat(&self, heartbeat: Heartbeat) -> BoxFuture<'static, ()>;

    /// Serves `Peers::leave`.
    fn leave(&self, instance: InstanceId, incarnation: Incarnation) -> BoxFuture<'static, ()>;

    /// Serves `Peers::push_changes`.
    fn push_changes(&self, records: Vec<ChangeRecord>) -> BoxFuture<'static, ()>;

    /// Serves `Peers::take_journal`.
    fn take_journal(
        &self,
        request: RequestId,
        account: AccountId,
        taker: Holder,
        only_idle: bool,
    ) -> BoxFuture<'static, TakeAnswer>;
}
