use super::*;

/// Decision code of one instance: the code that ships with the router, or the naive baseline.
pub(crate) trait Policy {
    /// Changes of the operator lists after a version, for another instance that lacks them; none
    /// if they are not available.
    fn changes_since(&self, _after: ConfigVersion) -> Option<Vec<ChangeRecord>> {
        None
    }

    /// Handles an event and returns the commands to execute.
    fn handle(&mut self, now: Duration, event: Event) -> Vec<Command>;

    /// State of a call that this instance may own, for another instance that asks for it.
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

/// Policy that all instances of a run use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PolicyKind {
    /// The naive baseline.
    Naive,
    /// The decision code that ships with the router.
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
