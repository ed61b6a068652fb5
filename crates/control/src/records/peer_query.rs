use super::*;

impl Records {
    /// Event for a claim that the store refused or that cannot be sent: the caller is refused at
    /// once if there are no peers, otherwise after they were asked.
    pub(crate) fn refused_claim_event(&self) -> CallEvent {
        match self.peers.is_empty() {
            false => CallEvent::Unreadable,
            true => CallEvent::Unavailable,
        }
    }

    /// Asks every live peer about a key, as an earlier submission may have run there.
    pub(crate) fn ask_peers(&mut self, context: &mut Context, key: &Arc<str>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if context.now < entry.next_ask_at {
            return;
        }
        entry.next_ask_at = context.now + Duration::from_millis(self.settings.ask_ms);
        entry.answers_due_at = context.now + Duration::from_millis(self.settings.ask_max_ms);
        entry.pending_peers.clear();
        for (peer, peer_address) in &self.peers {
            entry.pending_peers.insert(peer.clone());
            context.push(ask_by_key(entry, key, peer, *peer_address));
        }
    }

    /// Asks the peer that runs the call again when that is due, or reports that the peer is gone.
    pub(crate) fn ask_running_peer(
        &mut self,
        context: &mut Context,
        key: &Arc<str>,
        members: &Members,
        effects: &mut Vec<RecordEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let running_peer = entry
            .running_peer
            .as_ref()
            .and_then(|peer| members.peer(peer));
        let Some(peer) = running_peer.filter(|peer| peer.health != TargetHealth::Down) else {
            return self.apply(context, key, CallEvent::OwnerGone, None, effects);
        };
        if context.now >= entry.next_ask_at {
            entry.next_ask_at = context.now + Duration::from_millis(self.settings.ask_ms);
            context.push(ask_by_key(entry, key, &peer.id, peer.peer_address));
        }
    }

    /// Event that a peer's answer stands for when this instance could not claim the key; none if
    /// more answers are pending. A claim that the peer reports is durable, so no claim of this
    /// instance can take effect any more.
    pub(crate) fn classify_answer(
        entry: &mut CallEntry,
        owner: &InstanceId,
        status: OwnerStatus,
    ) -> Option<(CallEvent, Option<CallOutcome>)> {
        let is_running_peer =
            entry.state == CallState::Relaying && entry.running_peer.as_ref() == Some(owner);
        entry.pending_peers.remove(owner);
        let event = match status {
            // Another peer may know a later claim of the key that ran.
            OwnerStatus::Ended(CallOutcome::NotRun(_)) if !is_running_peer => {
                CallEvent::UnknownToPeers
            }
            OwnerStatus::Ended(outcome) => return Some((CallEvent::OwnerEnded, Some(outcome))),
            OwnerStatus::Running if entry.state == CallState::Relaying => return None,
            OwnerStatus::Running => {
                entry.running_peer = Some(owner.clone());
                CallEvent::OwnerRunning
            }
            OwnerStatus::UnknownClaim if is_running_peer => CallEvent::OwnerGone,
            OwnerStatus::NoReply | OwnerStatus::UnknownClaim => CallEvent::UnknownToPeers,
        };
        let is_waiting = entry.state == CallState::Asking && entry.pending_peers.is_empty();
        if event == CallEvent::UnknownToPeers && !is_waiting {
            return None;
        }
        Some((event, None))
    }
}

fn ask_by_key(
    entry: &CallEntry,
    key: &Arc<str>,
    peer: &InstanceId,
    peer_address: SocketAddr,
) -> Command {
    Command::AskOwner {
        owner: peer.clone(),
        peer_address,
        query: CallQuery::Key {
            body_hash: entry.body_hash.clone(),
            key: key.clone(),
        },
        request: entry.primary.clone(),
    }
}
