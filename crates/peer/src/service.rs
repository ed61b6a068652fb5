use super::*;

/// Reason for rejecting a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Rejection {
    /// The call does not carry the receiver's secret.
    Secret,
}

/// Calls between instances. Each carries the shared secret.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn append_journal(
        secret: Secret,
        append: JournalAppend,
    ) -> Result<AppendAnswer, Rejection>;

    async fn call_status(secret: Secret, query: CallQuery) -> Result<OwnerStatus, Rejection>;

    async fn changes_since(secret: Secret, version: ConfigVersion) -> Result<Changes, Rejection>;

    async fn heartbeat(secret: Secret, heartbeat: Heartbeat) -> Result<(), Rejection>;

    async fn leave(
        secret: Secret,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> Result<(), Rejection>;

    async fn push_changes(secret: Secret, records: Vec<ChangeRecord>) -> Result<(), Rejection>;

    async fn take_journal(secret: Secret, take: TakeRequest) -> Result<TakeAnswer, Rejection>;
}
