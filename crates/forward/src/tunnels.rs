use super::*;

/// Asks an instance to connect to a target for another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TunnelQuery {
    /// Address of the target.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Id of the target.
    pub target: TargetId,
}

impl TunnelQuery {
    pub(crate) fn new(stage: &Stage) -> Self {
        Self {
            address: stage.address,
            incarnation: stage.incarnation,
            target: stage.id.clone(),
        }
    }
}

/// Reason why another instance did not connect to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum TunnelError {
    /// That instance reaches no target either.
    #[error("the instance reaches no target itself; ask another one")]
    CutOff,
    /// That instance does not list the target at this address, or it accepts no requests there.
    #[error("the instance may not use the target; ask another one or use another target")]
    Declined,
    /// The instance did not answer.
    #[error("the instance does not answer; ask another one")]
    NoAnswer,
    /// That instance reaches other targets but not this one.
    #[error("the target cannot be reached; use another one")]
    Unreachable,
}

/// Connections to targets through other instances.
pub trait Tunnels: Send + Sync {
    /// Opens a byte stream to a target through `instance`.
    ///
    /// # Errors
    ///
    /// Returns the reason for which that instance did not connect to the target.
    fn open(
        &self,
        instance: &Instance,
        query: TunnelQuery,
    ) -> BoxFuture<'_, Result<BoxedStream, TunnelError>>;

    /// Reports to `instance` that a target asked for a pause in an answer that came through it. The target
    /// sees that instance as the sender of the request.
    fn report_pause(
        &self,
        instance: &Instance,
        target: TunnelQuery,
        wait: Duration,
    ) -> BoxFuture<'_, ()>;
}
