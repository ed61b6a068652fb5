//! Harness of one instance that orders engines, with the engines and the table.

use {
    super::{context, engine_listing, mesh::Mesh, ms, peer_listing, table::Table},
    control::{Command, Context, Decision, OrderSettings, Orders},
    std::collections::{BTreeMap, BTreeSet},
    types::{
        LayerRange, LoadReport, LoadedModel, OperatorLists, Order, Plan, StoreFailure, TargetId,
    },
};

/// How the store answers.
#[derive(Clone, Copy, PartialEq)]
pub enum StoreBehavior {
    /// The process is paused for this number of milliseconds before it receives the reply.
    Late(u64),
    /// The request is executed, and the reply is lost.
    Lost,
    /// The reply arrives at once.
    Works,
}

/// One instance, its engines, and the table.
pub struct OrderHarness {
    pub context: Context,
    /// Engines that run requests of the instance, which their reports may not show.
    pub targets_in_use: BTreeSet<TargetId>,
    pub lists: Option<OperatorLists>,
    pub logs: Vec<Decision>,
    pub mesh: Mesh,
    orders: Orders,
    pub sent: Vec<(TargetId, Order)>,
    settings: OrderSettings,
    pub store: StoreBehavior,
    pub table: Table,
}

impl OrderHarness {
    /// Engines by name and failure domain, each with the running requests and the model that it
    /// reports; an empty name stands for no model.
    pub fn new(engines: &[(&str, &str, u32, &str)], settings: OrderSettings) -> Self {
        let mut listings = vec![peer_listing("a")];
        let mut reports = BTreeMap::new();
        for (name, domain, running_count, model) in engines {
            listings.push(engine_listing(name, domain));
            let report = LoadReport {
                incarnation: 1,
                models: Vec::from_iter((!model.is_empty()).then(|| loaded(model))),
                running_count: *running_count,
                slot_count: 10,
                ..LoadReport::default()
            };
            reports.insert(TargetId::from(*name), report);
        }
        let mut mesh = Mesh::new(listings, &[]);
        mesh.reports = reports;
        mesh.start("a", "a");
        Self {
            context: context(5),
            targets_in_use: BTreeSet::new(),
            lists: Some(lists_naming(&["m", "idle", "full"])),
            logs: Vec::new(),
            mesh,
            orders: Orders::new(settings.clone()),
            sent: Vec::new(),
            settings,
            store: StoreBehavior::Works,
            table: Table::default(),
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / 50 {
            self.mesh.run(50);
            let members = &self.mesh.instances["a"].0;
            self.context.now += ms(50);
            self.context.wall += ms(50);
            self.orders.tick(
                &mut self.context,
                members,
                self.lists.as_ref(),
                &self.targets_in_use,
            );
            while !self.context.commands.is_empty() {
                for command in std::mem::take(&mut self.context.commands) {
                    self.handle(command);
                }
            }
        }
        assert_eq!(self.context.unexpected_count, 0);
    }

    pub fn handle(&mut self, command: Command) {
        match command {
            Command::Log(decision) => self.logs.push(decision),
            Command::SendOrder { order, target, .. } => {
                let row = &self.table.rows[&*format!("order/{target}")];
                assert_eq!(
                    row.version, order.fence,
                    "the order was sent before its row was written"
                );
                self.sent.push((target, order));
            }
            Command::Store { request, ticket } => {
                let reply = self.table.run(&request);
                let result = match self.store {
                    StoreBehavior::Late(late_ms) => {
                        // The whole process is paused, so its reports age too.
                        self.context.now += ms(late_ms);
                        for (_, context) in self.mesh.instances.values_mut() {
                            context.now += ms(late_ms);
                        }
                        Ok(reply)
                    }
                    StoreBehavior::Lost => Err(StoreFailure::Ambiguous),
                    StoreBehavior::Works => Ok(reply),
                };
                self.orders
                    .store_replied(&mut self.context, ticket, &result);
            }
            _ => {}
        }
    }

    /// Replaces the owner by one that knows no orders.
    pub fn replace_owner(&mut self) {
        self.orders = Orders::new(self.settings.clone());
    }

    /// Brings each engine to the state of the last order that was sent to it.
    pub fn apply_sent_orders(&mut self) {
        for (target, order) in &self.sent {
            let report = self.mesh.reports.get_mut(target).unwrap();
            report.fence = order.fence;
            report.models.clone_from(&order.wanted.models);
        }
    }

    pub fn targets(&self) -> Vec<&str> {
        self.sent.iter().map(|(target, _)| &**target).collect()
    }
}

/// Lists with one plan that names these models.
pub fn lists_naming(models: &[&str]) -> OperatorLists {
    let plan = Plan {
        models: models.iter().map(|model| (*model).into()).collect(),
        ..Plan::default()
    };
    OperatorLists {
        plans: BTreeMap::from([("p".into(), plan)]),
        ..OperatorLists::default()
    }
}

pub fn loaded(model: &str) -> LoadedModel {
    LoadedModel {
        adapters: Vec::new(),
        layer_count: 8,
        layers: LayerRange { start: 0, end: 8 },
        model: model.into(),
    }
}
