use super::*;

/// States of `charts/call.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallState {
    Abandoned,
    Asking,
    Claimed,
    Claiming,
    Closed,
    Following,
    Marking,
    NotRun,
    Ran,
    Relaying,
    Resolving,
    Unknown,
}

/// Events of `charts/call.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallEvent {
    Absent,
    Ambiguous,
    Cleaned,
    Completed,
    Confirmed,
    ConfirmedLate,
    Expired,
    Lost,
    Marked,
    OwnerEnded,
    OwnerGone,
    OwnerRunning,
    OwnerSilent,
    Refused,
    RowBehind,
    RowMismatch,
    RowNotRun,
    RowRan,
    RowSettled,
    RowStarted,
    RowSuperseded,
    RowUnknown,
    Unavailable,
    UnknownToPeers,
    Unreadable,
}

/// Actions of `charts/call.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallAction {
    AnswerMismatch,
    AnswerNotRun,
    AnswerOutcome,
    AnswerOwner,
    AnswerRow,
    AnswerUnknown,
    AskPeers,
    Clean,
    Clear,
    MarkUnknown,
    ReadBack,
    SendClaim,
    Settle,
    Write,
}

pub(crate) static CALL_CHART: LazyLock<Chart<CallState, CallEvent, CallAction>> =
    LazyLock::new(|| {
        Chart::parse(include_str!("../../../../charts/call.json"))
            .expect("charts/call.json has the states, events and actions of this file")
    });

/// Call of one key at this instance.
#[derive(Clone, Debug)]
pub(crate) struct CallEntry {
    /// Time from which the owner or the peers may be asked again.
    pub(crate) next_ask_at: Duration,
    /// Time up to which answers of peers that were asked by key are waited for.
    pub(crate) answers_due_at: Duration,
    /// Peers that were asked by key and have not answered yet.
    pub(crate) pending_peers: BTreeSet<InstanceId>,
    /// Time at which the claim was first sent, which starts the dispatch window.
    pub(crate) claim_sent_at: Duration,
    pub(crate) body_hash: Arc<str>,
    /// Row version that the newest claim requires. Earlier claims require a lower one, which the
    /// row has passed.
    pub(crate) claim_version: RowVersion,
    /// Deadline of the call that made the claim.
    pub(crate) deadline_at: Duration,
    /// Time at which the row of an ended call was first seen to be up to date.
    pub(crate) ended_at: Option<Duration>,
    /// Wall-clock time in milliseconds after which the row may be deleted.
    pub(crate) expires_ms: u64,
    /// Time at which the entry started to wait for the owner of another claim.
    pub(crate) following_since: Duration,
    /// Whether the reply to a store request about this key is pending.
    pub(crate) in_flight: bool,
    pub(crate) nonce: Nonce,
    /// Outcome of an ended call. Invariant: present in `NotRun`, `Ran` and `Unknown`.
    pub(crate) outcome: Option<CallOutcome>,
    /// Request that made the claim. Only this one is dispatched.
    pub(crate) primary: RequestId,
    /// Requests that are not answered yet.
    pub(crate) requests: Vec<RequestId>,
    /// Peer that runs the call. Invariant: present in `Relaying`.
    pub(crate) running_peer: Option<InstanceId>,
    pub(crate) retry_at: Option<Duration>,
    pub(crate) retry_count: u32,
    /// Row as last read or written.
    pub(crate) row: Option<CallRow>,
    /// Version of the row as last read or written; 0 if the row is absent.
    pub(crate) row_version: RowVersion,
    pub(crate) state: CallState,
}

impl CallEntry {
    /// Whether the entry may be evicted: the call has ended and its row says so.
    pub(crate) fn is_durable(&self) -> bool {
        self.ended_at.is_some() && !self.in_flight
    }

    /// Row of this entry's claim in `state`.
    pub(crate) fn own_row(&self, identity: &Identity, state: CallRowState) -> CallRow {
        let result = match (&self.outcome, state) {
            (Some(CallOutcome::Ran(reply)), CallRowState::Ran) => Some(reply.clone()),
            _ => None,
        };
        CallRow {
            body_hash: self.body_hash.clone(),
            expires_ms: self.expires_ms,
            incarnation: identity.incarnation,
            nonce: self.nonce.clone(),
            owner: identity.instance.clone(),
            result,
            state,
        }
    }

    /// Row of a lost owner's claim, set to `unknown`. It keeps its nonce, so that the owner can
    /// still add the result.
    pub(crate) fn marked_row(&self, identity: &Identity) -> CallRow {
        let row = self.row.clone();
        let row = row.unwrap_or_else(|| self.own_row(identity, CallRowState::Unknown));
        CallRow {
            result: None,
            state: CallRowState::Unknown,
            ..row
        }
    }

    /// Outcome that the row holds.
    pub(crate) fn row_outcome(&self) -> CallOutcome {
        let result = self.row.as_ref().and_then(|row| row.result.clone());
        result.map_or(CallOutcome::Unknown, CallOutcome::Ran)
    }

    /// Size of the result in memory, in bytes.
    pub(crate) fn result_bytes(&self) -> usize {
        match &self.outcome {
            Some(CallOutcome::Ran(reply)) => reply.body.len(),
            _ => 0,
        }
    }

    /// State that the row must reach; none while the call has not ended.
    pub(crate) fn final_row_state(&self) -> Option<CallRowState> {
        match self.state {
            CallState::NotRun => Some(CallRowState::NotRun),
            CallState::Ran => Some(CallRowState::Ran),
            CallState::Unknown => Some(CallRowState::Unknown),
            _ => None,
        }
    }

    /// Event that a row, read or returned by a conflict, stands for in the current state.
    pub(crate) fn classify_row(&self, row: Option<&CallRow>, version: RowVersion) -> CallEvent {
        let is_own = row.is_some_and(|row| row.nonce == self.nonce);
        if self.final_row_state().is_some() {
            return self.classify_ended(row, is_own);
        }
        if self.state == CallState::Marking {
            return self.classify_marking(row);
        }
        let Some(row) = row else {
            return CallEvent::Absent;
        };
        match row.state {
            CallRowState::Started if is_own => return CallEvent::Confirmed,
            CallRowState::NotRun if is_own => return CallEvent::Cleaned,
            _ if version == self.claim_version && !is_own => return CallEvent::Absent,
            _ => {}
        }
        if row.body_hash != self.body_hash {
            return CallEvent::RowMismatch;
        }
        match row.state {
            CallRowState::NotRun => CallEvent::RowNotRun,
            CallRowState::Ran => CallEvent::RowRan,
            CallRowState::Started => CallEvent::RowStarted,
            CallRowState::Unknown => CallEvent::RowUnknown,
        }
    }

    fn classify_ended(&self, row: Option<&CallRow>, is_own: bool) -> CallEvent {
        let Some(row) = row.filter(|_| is_own) else {
            return CallEvent::RowSuperseded;
        };
        if Some(row.state) == self.final_row_state() {
            return CallEvent::RowSettled;
        }
        match row.state {
            CallRowState::Unknown => CallEvent::RowUnknown,
            _ => CallEvent::RowBehind,
        }
    }

    fn classify_marking(&self, row: Option<&CallRow>) -> CallEvent {
        let Some(row) = row else {
            return CallEvent::Absent;
        };
        let is_same = self
            .row
            .as_ref()
            .is_some_and(|seen| seen.nonce == row.nonce);
        match row.state {
            CallRowState::NotRun => CallEvent::RowNotRun,
            CallRowState::Ran => CallEvent::RowRan,
            CallRowState::Started if is_same => CallEvent::RowStarted,
            CallRowState::Started => CallEvent::RowSuperseded,
            CallRowState::Unknown => CallEvent::RowUnknown,
        }
    }
}
