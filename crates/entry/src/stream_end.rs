use super::*;

/// How a run of a stream on this instance ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The run failed on this instance; the caller gets an error answer.
    Failed(Fault),
    /// The answer is complete.
    Finished,
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The node refused the request.
    Refused(Refusal),
    /// Another connection or instance resumed the stream.
    TakenOver,
}

impl StreamEnd {
    /// Returns the value of the metric label `end`.
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
