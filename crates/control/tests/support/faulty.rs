//! Table whose replies a schedule delivers, delays, loses or refuses.

use {
    super::table::Table,
    types::{StoreFailure, StoreReply, StoreRequest, StoreTicket},
};

/// Reply for the instance at an index.
pub type Reply = (usize, StoreTicket, Result<StoreReply, StoreFailure>);

#[derive(Clone, Debug, Default)]
pub struct FaultyTable {
    /// Requests that take effect later.
    pub late: Vec<StoreRequest>,
    pub table: Table,
    pub waiting: Vec<(usize, StoreTicket, StoreRequest)>,
}

impl FaultyTable {
    pub fn deliver(&mut self, position: usize) -> Reply {
        let (index, ticket, request) = self.waiting.remove(position);
        (index, ticket, Ok(self.table.run(&request)))
    }

    /// The table takes the request up at a later time, and the reply is lost.
    pub fn delay(&mut self, position: usize) -> Reply {
        let (index, ticket, request) = self.waiting.remove(position);
        self.late.push(request);
        (index, ticket, Err(StoreFailure::Ambiguous))
    }

    /// A delayed request takes effect.
    pub fn apply_late(&mut self, position: usize) {
        let request = self.late.remove(position);
        self.table.run(&request);
    }

    /// The table takes the request up, and the reply is lost.
    pub fn lose_reply(&mut self, position: usize) -> Reply {
        let (index, ticket, _) = self.deliver(position);
        (index, ticket, Err(StoreFailure::Ambiguous))
    }

    pub fn refuse(&mut self, position: usize) -> Reply {
        let (index, ticket, _) = self.waiting.remove(position);
        (index, ticket, Err(StoreFailure::Unavailable))
    }
}
