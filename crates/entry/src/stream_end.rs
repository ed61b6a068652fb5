use super::*;

/// How a run of a stream ended.
#[derive(Debug)]
pub(crate) enum End {
    Failed(Fault),
    Finished,
    Gone,
    Refused(Refusal),
    TakenOver,
}

impl End {
    /// Name for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Finished => "finished",
            Self::Gone => "gone",
            Self::Refused(_) => "refused",
            Self::TakenOver => "taken_over",
        }
    }
}
