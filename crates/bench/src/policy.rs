use super::*;

/// What decides for one instance: the shipped decision code, or the naive version.
pub(crate) trait Policy {
    fn changes_since(&self, _after: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        None
    }

    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command>;

    fn owner_status(&self, _query: &CallQuery) -> OwnerStatus {
        OwnerStatus::UnknownClaim
    }
}

impl Policy for Node {
    fn changes_since(&self, after: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        Node::changes_since(self, after)
    }

    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command> {
        Node::handle(self, now, event)
    }

    fn owner_status(&self, query: &CallQuery) -> OwnerStatus {
        Node::owner_status(self, query)
    }
}

/// Which policy the instances of a run follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PolicyKind {
    Naive,
    Shipped,
}

impl PolicyKind {
    pub(crate) fn build(self, identity: Identity, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::Naive => Box::new(NaivePolicy::new(seed)),
            Self::Shipped => {
                let settings = NodeSettings {
                    seed,
                    ..NodeSettings::default()
                };
                Box::new(Node::new(settings, identity, SystemTime::UNIX_EPOCH))
            }
        }
    }
}
