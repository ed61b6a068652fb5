use super::*;

/// How a run of a stream ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    Failed(Fault),
    Finished,
    CallerGone,
    Refused(Refusal),
    TakenOver,
}

impl StreamEnd {
    /// Name for metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Finished => "finished",
            Self::CallerGone => "gone",
            Self::Refused(_) => "refused",
            Self::TakenOver => "taken_over",
        }
    }
}
