//! Two owners of two engines, with the table and the network between them.

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
/// Needs that an owner can see: the engine that is spare, and the model that lacks a domain.
pub const NEEDS: [Need; 3] = [("s", "m"), ("s", "p"), ("t", "m")];

pub type Need = (&'static str, &'static str);

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The clock of all moves on; an owner that is not ticked is paused.
    Advance,
    /// An order reaches the engine, however long ago it was sent.
    Arrive(usize),
    /// The table takes the request up later, and the reply is lost.
    Delay(usize),
    Deliver(usize),
    /// All messages settle; both owners see each other and the engine's state.
    Heal,
    Land(usize),
    LoseOrder(usize),
    LoseReply(usize),
    /// The table takes the request up, and the reply is on its way.
    TakeUp(usize),
    /// Time passes at an owner that sees a need of a model and no other instance.
    TickAlone(usize, Need),
    TickBoth(usize),
}

#[derive(Clone, Debug)]
pub struct World {
    pub advance_count: u32,
    checks_fence: bool,
    engines: BTreeMap<TargetId, (Vec<LoadedModel>, u64)>,
    pub fault_count: u32,
    fences: BTreeSet<u64>,
    pub is_healed: bool,
    late: Vec<StoreRequest>,
    lists: Arc<OperatorLists>,
    now: Duration,
    orders: Vec<(usize, TargetId, Order)>,
    owners: Vec<(Context, Orders)>,
    sends: Vec<Duration>,
    table: Table,
    /// Requests under way, and the reply of those that the table has taken up.
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

impl World {
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
            is_healed: false,
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

    /// What an owner sees: the engine, and either its peer or a model that lacks a domain.
    fn view(&self, own: usize, need: Option<Need>) -> Members {
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
        let members = self.view(index, need);
        let (context, orders) = &mut self.owners[index];
        orders.tick(context, &members, Some(&self.lists), &BTreeSet::new());
        self.settle(index)
    }

    fn settle(&mut self, index: usize) -> Result<(), String> {
        let (context, _) = &mut self.owners[index];
        if context.unexpected_count > 0 {
            return Err("the chart met an event that it does not list".into());
        }
        for command in std::mem::take(&mut context.commands) {
            match command {
                Command::SendOrder { order, target, .. } => {
                    if !self.fences.contains(&order.fence) {
                        return Err(format!("order {} was sent without its row", order.fence));
                    }
                    let row = self.table.rows.get(&*format!("order/{target}"));
                    if row.is_none_or(|row| row.version != order.fence) {
                        return Err(format!("order {} was sent and is replaced", order.fence));
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

    /// One load at once and one more per 10 s; an order goes out at most 2 s after its token.
    fn check_rate(&self) -> Result<(), String> {
        for (first, from) in self.sends.iter().enumerate() {
            for (last, to) in self.sends.iter().enumerate().skip(first) {
                let allowed = 1 + (*to - *from + ms(2_000)).as_millis() / 10_000;
                if (last - first + 1) as u128 > allowed {
                    return Err(format!(
                        "loads beyond the limit of the weight store: {:?}",
                        self.sends
                    ));
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        let reply = self.table.run(request);
        if let (StoreRequest::Transact { .. }, StoreReply::Committed { version }) =
            (request, &reply)
        {
            self.fences.insert(*version);
        }
        reply
    }

    fn reply(&mut self, place: usize, is_lost: bool) -> Result<(), String> {
        let (index, ticket, request, reply) = self.waiting.remove(place);
        let reply = reply.unwrap_or_else(|| self.apply(&request));
        let result = if is_lost {
            Err(StoreFailure::Ambiguous)
        } else {
            Ok(reply)
        };
        let (context, orders) = &mut self.owners[index];
        orders.store_replied(context, ticket, &result);
        self.settle(index)
    }

    fn arrive(&mut self, place: usize) -> Result<(), String> {
        let (index, target, order) = self.orders.remove(place);
        let engine = self.engines.get_mut(&target).unwrap();
        if self.checks_fence && order.fence < engine.1 {
            let (context, orders) = &mut self.owners[index];
            orders.failed(context, &target, &order);
            return self.settle(index);
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

    pub fn heal(&mut self) -> Result<(), String> {
        for _ in 0..25 {
            for request in std::mem::take(&mut self.late) {
                self.apply(&request);
            }
            for index in 0..2 {
                self.tick(index, None)?;
            }
            while !self.waiting.is_empty() {
                self.reply(0, false)?;
            }
            while !self.orders.is_empty() {
                self.arrive(0)?;
            }
            self.advance();
        }
        self.is_healed = true;
        for (target, (models, fence)) in &self.engines {
            let Some(row) = self.table.rows.get(&*format!("order/{target}")) else {
                continue;
            };
            let wanted: WantedState = serde_json::from_str(&row.value).unwrap();
            if *models != wanted.models {
                return Err(format!(
                    "{target} ended in {models:?} of order {fence}, the row is {row:?}"
                ));
            }
        }
        Ok(())
    }
}

impl Model for World {
    type Move = Step;

    fn moves(&self) -> Vec<Step> {
        if self.is_healed {
            return Vec::new();
        }
        let mut moves = vec![Step::Heal];
        for index in 0..2 {
            moves.push(Step::TickBoth(index));
            moves.extend(NEEDS.map(|need| Step::TickAlone(index, need)));
        }
        for place in 0..self.waiting.len() {
            moves.push(Step::Deliver(place));
            if self.waiting[place].3.is_none() {
                moves.push(Step::TakeUp(place));
            }
            if self.fault_count > 0 {
                moves.push(Step::LoseReply(place));
            }
            if self.fault_count > 0 && self.waiting[place].3.is_none() {
                moves.push(Step::Delay(place));
            }
        }
        moves.extend((0..self.late.len()).map(Step::Land));
        for place in 0..self.orders.len() {
            moves.push(Step::Arrive(place));
            if self.fault_count > 0 {
                moves.push(Step::LoseOrder(place));
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
            Step::Arrive(place) => return self.arrive(place),
            Step::Delay(place) => {
                let (index, ticket, request, _) = self.waiting.remove(place);
                self.late.push(request);
                let (context, orders) = &mut self.owners[index];
                orders.store_replied(context, ticket, &Err(StoreFailure::Ambiguous));
                return self.settle(index);
            }
            Step::Deliver(place) => return self.reply(place, false),
            Step::Heal => return self.heal(),
            Step::Land(place) => {
                let request = self.late.remove(place);
                self.apply(&request);
            }
            Step::LoseOrder(place) => {
                self.orders.remove(place);
            }
            Step::LoseReply(place) => return self.reply(place, true),
            Step::TakeUp(place) => {
                let request = self.waiting[place].2.clone();
                self.waiting[place].3 = Some(self.apply(&request));
            }
            Step::TickAlone(index, need) => return self.tick(index, Some(need)),
            Step::TickBoth(index) => return self.tick(index, None),
        }
        Ok(())
    }

    fn digest(&self) -> String {
        let owners: Vec<_> = self.owners.iter().map(|(_, orders)| orders).collect();
        let left = (self.advance_count, self.fault_count, self.is_healed);
        let (table, waiting) = (&self.table, &self.waiting);
        let (late, orders, engine, sends) = (&self.late, &self.orders, &self.engines, &self.sends);
        format!("{owners:?}{left:?}{table:?}{waiting:?}{late:?}{orders:?}{engine:?}{sends:?}")
    }
}
