//! Simulation of two owners of two engines, the table and the network between them.

use {
    crate::support::{
        context, engine_listing, heartbeat, identity, ms, peer_listing, search::Model, table::Table,
    },
    control::{Command, Context, MemberSettings, Members, OrderSettings, Orders},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    types::{
        LayerRange, LoadReport, LoadedModel, OperatorLists, Order, Plan, StoreFailure, StoreReply,
        StoreRequest, StoreTicket, TargetId, WantedState,
    },
};

const NAMES: [&str; 2] = ["a", "b"];
/// Needs that an owner can see: an engine that holds nothing, and a model in too few failure
/// domains.
pub const NEEDS: [Need; 3] = [("s", "m"), ("s", "p"), ("t", "m")];

pub type Need = (&'static str, &'static str);

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time advances for all; an owner that is not ticked afterwards is paused.
    Advance,
    /// The order at this position reaches its engine, at any time after it was sent.
    Arrive(usize),
    /// The table executes the request later, and the reply is lost.
    Delay(usize),
    /// The table executes the request, unless it has, and the reply arrives.
    Deliver(usize),
    /// All messages are delivered; both owners see each other and the states of the engines.
    Settle,
    /// The table executes a delayed request.
    ApplyLate(usize),
    /// The order at this position is lost.
    LoseOrder(usize),
    /// The table executes the request, unless it has, and the reply is lost.
    LoseReply(usize),
    /// The table executes the request, and the reply is in flight.
    Execute(usize),
    /// An owner that sees a need and no other instance is ticked.
    TickAlone(usize, Need),
    /// An owner that sees the other one and both engines is ticked.
    TickBoth(usize),
}

#[derive(Clone, Debug)]
pub struct Simulation {
    /// Advances that a schedule may still take.
    pub advance_count: u32,
    checks_fence: bool,
    /// Models of each engine, and the fence of the order that set them.
    engines: BTreeMap<TargetId, (Vec<LoadedModel>, u64)>,
    /// Faults that a schedule may still cause.
    pub fault_count: u32,
    /// Versions of all committed transactions.
    fences: BTreeSet<u64>,
    pub is_settled: bool,
    /// Delayed requests, which are executed later.
    late: Vec<StoreRequest>,
    lists: Arc<OperatorLists>,
    now: Duration,
    orders: Vec<(usize, TargetId, Order)>,
    owners: Vec<(Context, Orders)>,
    /// Times at which orders were sent.
    sends: Vec<Duration>,
    table: Table,
    /// Requests in flight, with the replies to those that the table has executed.
    waiting: Vec<(usize, StoreTicket, StoreRequest, Option<StoreReply>)>,
}

fn settings() -> OrderSettings {
    OrderSettings {
        lasting_ms: 0,
        loads_per_minute: 6.0,
        place_ms: 0,
        reread_ms: 4_000,
        token_max_count: 1.0,
        wait_ms: 4_000,
        ..OrderSettings::default()
    }
}

/// Lists with a plan that uses both models.
fn lists() -> OperatorLists {
    let plan = Plan {
        models: ["m", "p"].map(Into::into).into(),
        ..Plan::default()
    };
    let mut lists = OperatorLists::default();
    lists.plans.insert("plan".into(), plan);
    lists
}

fn loaded(model: &str) -> LoadedModel {
    LoadedModel {
        adapters: Vec::new(),
        layer_count: 8,
        layers: LayerRange { start: 0, end: 8 },
        model: model.into(),
    }
}

impl Simulation {
    pub fn new(checks_fence: bool) -> Self {
        let now = ms(60_000);
        let owner = |index: u64| {
            let mut context = context(index);
            context.now = now;
            (context, Orders::new(settings()))
        };
        Self {
            advance_count: 4,
            checks_fence,
            engines: ["s", "t"].map(|name| (name.into(), (Vec::new(), 0))).into(),
            fault_count: 2,
            fences: BTreeSet::new(),
            is_settled: false,
            late: Vec::new(),
            lists: lists().into(),
            now,
            orders: Vec::new(),
            owners: vec![owner(0), owner(1)],
            sends: Vec::new(),
            table: Table::default(),
            waiting: Vec::new(),
        }
    }

    /// Members that an owner sees: both engines and the other owner, or with a need only its engine
    /// and an engine `e` that holds the model in one failure domain.
    fn members_seen_by(&self, own: usize, need: Option<Need>) -> Members {
        let mut context = context(0);
        context.now = self.now;
        let mut members = Members::new(identity(NAMES[own], 1), MemberSettings::default());
        let mut listings = vec![peer_listing(NAMES[own])];
        match need {
            None => {
                listings.push(peer_listing(NAMES[1 - own]));
                listings.extend(["s", "t"].map(|name| engine_listing(name, "b")));
            }
            Some((engine, _)) => {
                listings.extend([engine_listing("e", "a"), engine_listing(engine, "b")]);
            }
        }
        members.listing_read(&mut context, listings);
        if need.is_none() {
            members.heartbeat_received(&mut context, &heartbeat(NAMES[1 - own]));
        }
        let report = |models: Vec<LoadedModel>, fence: u64| LoadReport {
            fence,
            incarnation: 1,
            models,
            slot_count: 10,
            ..LoadReport::default()
        };
        for (target, (models, fence)) in self.engines.clone() {
            if need.is_none_or(|(engine, _)| *engine == *target) {
                members.load_received(&mut context, &target, report(models, fence));
            }
        }
        if let Some((_, model)) = need {
            let other = report(vec![loaded(model)], 0);
            members.load_received(&mut context, &TargetId::from("e"), other);
        }
        members
    }

    fn tick(&mut self, index: usize, need: Option<Need>) -> Result<(), String> {
        let members = self.members_seen_by(index, need);
        let (context, orders) = &mut self.owners[index];
        orders.tick(context, &members, Some(&self.lists), &BTreeSet::new());
        self.process_commands(index)
    }

    fn process_commands(&mut self, index: usize) -> Result<(), String> {
        let (context, _) = &mut self.owners[index];
        if context.unexpected_count > 0 {
            return Err("the state chart received an event that its state does not list".into());
        }
        for command in std::mem::take(&mut context.commands) {
            match command {
                Command::SendOrder { order, target, .. } => {
                    if !self.fences.contains(&order.fence) {
                        return Err(format!(
                            "order {} was sent before its row was written",
                            order.fence
                        ));
                    }
                    let row = self.table.rows.get(&*format!("order/{target}"));
                    if row.is_none_or(|row| row.version != order.fence) {
                        return Err(format!(
                            "order {} was sent although its row was replaced",
                            order.fence
                        ));
                    }
                    self.sends.push(self.now);
                    self.orders.push((index, target, order));
                }
                Command::Store { request, ticket } => {
                    self.waiting.push((index, ticket, request, None));
                }
                _ => {}
            }
        }
        self.check_rate()
    }

    /// Checks the limit of one load at once and one more per 10 s. An order is sent at most 2 s
    /// after its token is taken.
    fn check_rate(&self) -> Result<(), String> {
        for (first, from) in self.sends.iter().enumerate() {
            for (last, to) in self.sends.iter().enumerate().skip(first) {
                let allowed = 1 + (*to - *from + ms(2_000)).as_millis() / 10_000;
                if (last - first + 1) as u128 > allowed {
                    return Err(format!(
                        "more loads than the weight store permits, sent at {:?}",
                        self.sends
                    ));
                }
            }
        }
        Ok(())
    }

    fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        let reply = self.table.run(request);
        if let (StoreRequest::Transact { .. }, StoreReply::Committed { version }) =
            (request, &reply)
        {
            self.fences.insert(*version);
        }
        reply
    }

    fn receive_reply(&mut self, position: usize, is_lost: bool) -> Result<(), String> {
        let (index, ticket, request, reply) = self.waiting.remove(position);
        let reply = reply.unwrap_or_else(|| self.execute(&request));
        let result = if is_lost {
            Err(StoreFailure::Ambiguous)
        } else {
            Ok(reply)
        };
        let (context, orders) = &mut self.owners[index];
        orders.store_replied(context, ticket, &result);
        self.process_commands(index)
    }

    fn deliver_order(&mut self, position: usize) -> Result<(), String> {
        let (index, target, order) = self.orders.remove(position);
        let engine = self.engines.get_mut(&target).unwrap();
        if self.checks_fence && order.fence < engine.1 {
            let (context, orders) = &mut self.owners[index];
            orders.failed(context, &target, &order);
            return self.process_commands(index);
        }
        *engine = (order.wanted.models, order.fence);
        Ok(())
    }

    fn advance(&mut self) {
        self.now += ms(2_100);
        for (context, _) in &mut self.owners {
            context.now += ms(2_100);
            context.wall += ms(2_100);
        }
    }

    pub fn settle_all(&mut self) -> Result<(), String> {
        for _ in 0..25 {
            for request in std::mem::take(&mut self.late) {
                self.execute(&request);
            }
            for index in 0..2 {
                self.tick(index, None)?;
            }
            while !self.waiting.is_empty() {
                self.receive_reply(0, false)?;
            }
            while !self.orders.is_empty() {
                self.deliver_order(0)?;
            }
            self.advance();
        }
        self.is_settled = true;
        for (target, (models, fence)) in &self.engines {
            let Some(row) = self.table.rows.get(&*format!("order/{target}")) else {
                continue;
            };
            let wanted: WantedState = serde_json::from_str(&row.value).unwrap();
            if *models != wanted.models {
                return Err(format!(
                    "{target} holds {models:?} of order {fence}, but its row is {row:?}"
                ));
            }
        }
        Ok(())
    }
}

impl Model for Simulation {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        if self.is_settled {
            return Vec::new();
        }
        let mut moves = vec![Step::Settle];
        for index in 0..2 {
            moves.push(Step::TickBoth(index));
            moves.extend(NEEDS.map(|need| Step::TickAlone(index, need)));
        }
        for position in 0..self.waiting.len() {
            moves.push(Step::Deliver(position));
            if self.waiting[position].3.is_none() {
                moves.push(Step::Execute(position));
            }
            if self.fault_count > 0 {
                moves.push(Step::LoseReply(position));
            }
            if self.fault_count > 0 && self.waiting[position].3.is_none() {
                moves.push(Step::Delay(position));
            }
        }
        moves.extend((0..self.late.len()).map(Step::ApplyLate));
        for position in 0..self.orders.len() {
            moves.push(Step::Arrive(position));
            if self.fault_count > 0 {
                moves.push(Step::LoseOrder(position));
            }
        }
        if self.advance_count > 0 {
            moves.push(Step::Advance);
        }
        moves
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let is_fault = matches!(
            step,
            Step::Delay(_) | Step::LoseOrder(_) | Step::LoseReply(_)
        );
        self.fault_count -= u32::from(is_fault);
        match *step {
            Step::Advance => {
                self.advance_count = self.advance_count.saturating_sub(1);
                self.advance();
            }
            Step::Arrive(position) => return self.deliver_order(position),
            Step::Delay(position) => {
                let (index, ticket, request, _) = self.waiting.remove(position);
                self.late.push(request);
                let (context, orders) = &mut self.owners[index];
                orders.store_replied(context, ticket, &Err(StoreFailure::Ambiguous));
                return self.process_commands(index);
            }
            Step::Deliver(position) => return self.receive_reply(position, false),
            Step::Settle => return self.settle_all(),
            Step::ApplyLate(position) => {
                let request = self.late.remove(position);
                self.execute(&request);
            }
            Step::LoseOrder(position) => {
                self.orders.remove(position);
            }
            Step::LoseReply(position) => return self.receive_reply(position, true),
            Step::Execute(position) => {
                let request = self.waiting[position].2.clone();
                self.waiting[position].3 = Some(self.execute(&request));
            }
            Step::TickAlone(index, need) => return self.tick(index, Some(need)),
            Step::TickBoth(index) => return self.tick(index, None),
        }
        Ok(())
    }

    fn digest(&self) -> String {
        let owners: Vec<_> = self.owners.iter().map(|(_, orders)| orders).collect();
        let left = (self.advance_count, self.fault_count, self.is_settled);
        let (table, waiting) = (&self.table, &self.waiting);
        let (late, orders, engine, sends) = (&self.late, &self.orders, &self.engines, &self.sends);
        format!("{owners:?}{left:?}{table:?}{waiting:?}{late:?}{orders:?}{engine:?}{sends:?}")
    }
}
