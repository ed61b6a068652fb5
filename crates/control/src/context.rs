use super::*;

/// Environment in which each part of the node handles an event: the time, random numbers, and the
/// list of commands to which it adds.
#[derive(Clone, Debug)]
pub struct Context {
    /// Commands that were issued since the event, in order.
    pub commands: Vec<Command>,
    /// Time since the process started.
    pub now: Duration,
    /// Random number generator with a fixed seed, so that runs can be repeated.
    pub random: ChaCha8Rng,
    /// Number of events that the state chart does not list for the state in which they occurred.
    /// Each of them is a defect.
    pub unexpected_count: u64,
    /// Wall-clock time at `now`, for expiry times that outlive the process.
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

    /// Logs a decision that is not a choice among targets.
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

    /// Adds a request to the table service and returns the ticket that its reply carries.
    pub fn send_store_request(&mut self, request: StoreRequest) -> StoreTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.push(Command::Store { request, ticket });
        ticket
    }
}
