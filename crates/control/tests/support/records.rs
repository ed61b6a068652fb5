//! One instance of the call record, with builders of submissions and checks of its answers.

use {
    super::{context, identity, members, ms, table::Table},
    control::{Command, Context, Members, RecordEffect, RecordSettings, Records},
    std::time::Duration,
    types::{
        CallOutcome, CallReply, CallSubmission, OperationKind, Refusal, RefusalKind, RequestId,
        StoreFailure, StoreRequest, StoreTicket,
    },
};

pub struct Instance {
    pub context: Context,
    pub members: Members,
    pub records: Records,
}

impl Instance {
    pub fn new(name: &str, settings: RecordSettings) -> Self {
        Self {
            context: context(name.len() as u64),
            members: members(name, &["a", "bb"], &["a", "bb"]),
            records: Records::new(identity(name, 1), settings),
        }
    }

    pub fn submit(&mut self, request: &str, key: &str) -> Vec<RecordEffect> {
        let call = submission(request, key);
        self.records.submit(&mut self.context, &call)
    }

    pub fn sent(&mut self) -> Vec<(StoreTicket, StoreRequest)> {
        let commands = std::mem::take(&mut self.context.commands);
        let stores = commands.into_iter().filter_map(|command| match command {
            Command::Store { request, ticket } => Some((ticket, request)),
            _ => None,
        });
        stores.collect()
    }

    pub fn fail(&mut self, ticket: StoreTicket, failure: StoreFailure) -> Vec<RecordEffect> {
        let result = Err(failure);
        self.records
            .store_replied(&mut self.context, ticket, &result)
            .unwrap()
    }

    /// Executes requests to the table until the record sends no more.
    pub fn exchange(&mut self, table: &mut Table) -> Vec<RecordEffect> {
        let mut effects = Vec::new();
        loop {
            let sent = self.sent();
            if sent.is_empty() {
                return effects;
            }
            for (ticket, request) in sent {
                let result = Ok(table.run(&request));
                let replied = self
                    .records
                    .store_replied(&mut self.context, ticket, &result);
                effects.extend(replied.unwrap());
            }
        }
    }

    pub fn tick(&mut self, after: Duration) -> Vec<RecordEffect> {
        self.context.now += after;
        self.records.tick(&mut self.context, &self.members)
    }
}

/// Instance `a` and an empty table.
pub fn start() -> (Instance, Table) {
    let a = Instance::new("a", RecordSettings::default());
    (a, Table::default())
}

pub fn submission(request: &str, key: &str) -> CallSubmission {
    CallSubmission {
        account: "shop".into(),
        body_hash: "h".into(),
        deadline: ms(30_000),
        fingerprint: 1,
        key: Some(key.into()),
        kind: OperationKind::NonRepeatable,
        operation: "book".into(),
        request: request.into(),
        service: "s".into(),
    }
}

pub fn id(request: &str) -> RequestId {
    request.into()
}

pub fn done() -> CallReply {
    CallReply {
        body: "done".into(),
        status: 200,
    }
}

pub fn refusal() -> Refusal {
    Refusal {
        kind: RefusalKind::NoTarget,
        retry_after: ms(100),
    }
}

pub fn is_not_run(effects: &[RecordEffect]) -> bool {
    use RecordEffect::Answer;
    matches!(
        effects,
        [Answer {
            outcome: CallOutcome::NotRun(_),
            ..
        }]
    )
}

pub fn outcome(effects: &[RecordEffect]) -> CallOutcome {
    match effects {
        [RecordEffect::Answer { outcome, .. }] => outcome.clone(),
        other => panic!("not one answer: {other:?}"),
    }
}
