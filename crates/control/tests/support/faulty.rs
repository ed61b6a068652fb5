//! Table that executes, delays, loses or refuses requests as a schedule says.

use {
    super::table::Table,
    types::{StoreFailure, StoreReply, StoreRequest, StoreTicket},
};

/// Reply for the instance at an index.
pub type Reply = (usize, StoreTicket, Result<StoreReply, StoreFailure>);

#[derive(Clone, Debug, Default)]
pub struct FaultyTable {
    /// Delayed requests, which are executed later.
    pub late: Vec<StoreRequest>,
    pub table: Table,
    /// Requests that are not executed yet, with the index of their instance.
    pub waiting: Vec<(usize, StoreTicket, StoreRequest)>,
}

impl FaultyTable {
    pub fn deliver(&mut self, position: usize) -> Reply {
        let (index, ticket, request) = self.waiting.remove(position);
        (index, ticket, Ok(self.table.run(&request)))
    }

    /// Executes the request later and loses the reply.
    pub fn delay(&mut self, position: usize) -> Reply {
        let (index, ticket, request) = self.waiting.remove(position);
        self.late.push(request);
        (index, ticket, Err(StoreFailure::Ambiguous))
    }

    /// Executes a delayed request.
    pub fn apply_late(&mut self, position: usize) {
        let request = self.late.remove(position);
        self.table.run(&request);
    }

    /// Executes the request and loses the reply.
    pub fn lose_reply(&mut self, position: usize) -> Reply {
        let (index, ticket, _) = self.deliver(position);
        (index, ticket, Err(StoreFailure::Ambiguous))
    }

    pub fn refuse(&mut self, position: usize) -> Reply {
        let (index, ticket, _) = self.waiting.remove(position);
        (index, ticket, Err(StoreFailure::Unavailable))
    }
}
