use super::*;

/// What each part of the node needs to act on one event: the time, random numbers, and the place
/// for its commands.
#[derive(Clone, Debug)]
pub struct Context {
    /// Commands so far, in order.
    pub commands: Vec<Command>,
    /// Time since the process started.
    pub now: Duration,
    /// Seeded random numbers.
    pub random: ChaCha8Rng,
    /// Events that a state chart did not list in the state that they met. Each is a defect.
    pub unexpected_count: u64,
    /// Wall clock at `now`, for expiry times that outlive the process.
    pub wall: SystemTime,
    next_ticket: StoreTicket,
}

impl Context {
    /// Creates a context at time zero.
    #[must_use]
    pub fn new(random: ChaCha8Rng, wall: SystemTime) -> Self {
        Self {
            commands: Vec::new(),
            next_ticket: 1,
            now: Duration::ZERO,
            random,
            unexpected_count: 0,
            wall,
        }
    }

    /// Adds a command.
    pub fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Logs and counts an event that a state chart does not list.
    pub fn log_unexpected(&mut self, subject: &str, error: &chart::Error) {
        self.unexpected_count += 1;
        self.log("unexpected", subject, error.to_string());
    }

    /// Logs a decision that chose no target.
    pub fn log(&mut self, kind: &'static str, subject: &str, reason: impl Into<Arc<str>>) {
        self.push(Command::Log(Decision {
            account: None,
            alternatives: Vec::new(),
            chosen: Vec::new(),
            kind,
            reason: reason.into(),
            subject: subject.into(),
        }));
    }

    /// Adds a request to the table service and returns the ticket that its reply will carry.
    pub fn send_store_request(&mut self, request: StoreRequest) -> StoreTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.push(Command::Store { request, ticket });
        ticket
    }
}
