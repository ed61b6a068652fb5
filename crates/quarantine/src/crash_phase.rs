use super::*;

/// Point of the answer to a request at which its target crashed, in the order in which an answer reaches them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CrashPhase {
    /// The head had not arrived. The target may not have begun to answer.
    BeforeHead,
    /// The head had arrived, but no event.
    BeforeFirstEvent,
    /// The first event had arrived this long ago.
    AfterFirstEvent(Duration),
}

impl CrashPhase {
    /// Whether few requests of a target are in this phase at any time, so that a single crash is strong evidence
    /// against them.
    pub(crate) fn is_short(self) -> bool {
        self == Self::BeforeFirstEvent
    }

    /// Time since the first event; zero if there was none.
    pub(crate) fn answered_for(self) -> Duration {
        match self {
            Self::AfterFirstEvent(time) => time,
            Self::BeforeFirstEvent | Self::BeforeHead => Duration::ZERO,
        }
    }
}
