/// What happens to a reply on its way from a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyFault {
    /// An earlier reply of the connection is written once more before the server replies.
    CopyBefore,
    /// The reply is written twice, in one write.
    CopyBehind,
    /// The last refusal of the connection is written once more before the server replies.
    CopyOfRefusal,
    /// The same without the header that names the request.
    CopyOfRefusalWithoutId,
    /// The connection ends behind the head.
    CutBehindHead,
    /// The connection ends in the body.
    CutInBody,
    /// The connection ends in the head.
    CutInHead,
    /// The connection ends in the head of a copy of the last refusal.
    CutInRefusal,
    /// The whole body is followed by bytes without end.
    EndlessBody,
    /// The head has headers without end.
    EndlessHead,
    /// A failure is written between two chunks of the body, and the connection ends. A reply that is
    /// not in chunks is reset.
    ErrorInBody,
    /// Bytes that are no reply come first.
    NoReply,
    /// The connection is reset in the body.
    Reset,
    /// The reply has no framing, and the connection is reset in its body. A reply in chunks keeps them.
    ResetUnframed,
}

impl ReplyFault {
    /// All faults.
    pub const ALL: [Self; 14] = [
        Self::CopyBefore,
        Self::CopyBehind,
        Self::CopyOfRefusal,
        Self::CopyOfRefusalWithoutId,
        Self::CutBehindHead,
        Self::CutInBody,
        Self::CutInHead,
        Self::CutInRefusal,
        Self::EndlessBody,
        Self::EndlessHead,
        Self::ErrorInBody,
        Self::NoReply,
        Self::Reset,
        Self::ResetUnframed,
    ];

    /// Whether the fault precedes the reply of the server.
    pub(crate) fn is_early(self) -> bool {
        use ReplyFault::{CopyBefore, CopyOfRefusal, CopyOfRefusalWithoutId, CutInRefusal};
        matches!(
            self,
            CopyBefore | CopyOfRefusal | CopyOfRefusalWithoutId | CutInRefusal
        )
    }
}

/// Which faults a proxy injects. The default is none.
#[derive(Clone, Debug, Default)]
pub struct ReplyFaults {
    /// Faults among which each exchange draws.
    pub faults: Vec<ReplyFault>,
    /// Header of a reply that names its request.
    pub id_header: &'static str,
    /// Seed of the draws.
    pub seed: u64,
    /// Share of the exchanges that draw a fault, from 0 to 1.
    pub share: f64,
}
