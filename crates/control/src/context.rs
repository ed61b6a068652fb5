use super::*;

/// What each part of the node needs to act on one event: the time, random numbers, and the place
/// for its commands.
#[derive(Debug)]
pub struct Context {
    /// Commands so far, in order.
    pub commands: Vec<Command>,
    /// Time since the process started.
    pub now: Duration,
    /// Seeded random numbers.
    pub random: ChaCha8Rng,
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
            wall,
        }
    }

    /// Adds a command.
    pub fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Adds a request to the table service and returns the ticket that its reply will carry.
    pub fn store(&mut self, request: StoreRequest) -> StoreTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.push(Command::Store { request, ticket });
        ticket
    }
}
