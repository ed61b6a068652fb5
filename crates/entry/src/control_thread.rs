use super::*;

/// Time between ticks of the node.
const TICK: Duration = Duration::from_millis(50);

/// The node, as tasks on the traffic threads see it.
pub trait Control: Send + Sync + 'static {
    /// Entry addresses for a caller; none when the control thread has ended.
    fn addresses(&self, model: Option<ModelId>) -> BoxFuture<'static, Option<AddressAnswer>>;

    /// Changes after a version, or whole lists.
    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes>;

    /// What became of a call that this instance claimed.
    fn owner_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus>;

    /// Hands over an event. Events of one task are handled in order.
    fn report(&self, event: Event);

    /// What the node believes; none when the control thread has ended.
    fn status(&self) -> BoxFuture<'static, Option<Status>>;
}

/// Actor that owns the node.
struct Controller {
    commands: mpsc::UnboundedSender<Command>,
    node: Node,
    started: Instant,
}

struct Addresses(Option<ModelId>);
struct ChangesSince(ConfigVersion);
struct OwnerQuery(CallQuery);
struct Report(Event);
struct StatusQuery;

impl Controller {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

impl xtra::Actor for Controller {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Addresses> for Controller {
    type Return = AddressAnswer;

    async fn handle(&mut self, query: Addresses, _: &mut xtra::Context<Self>) -> AddressAnswer {
        self.node.addresses(self.now(), query.0.as_ref())
    }
}

impl Handler<ChangesSince> for Controller {
    type Return = Changes;

    async fn handle(&mut self, query: ChangesSince, _: &mut xtra::Context<Self>) -> Changes {
        match self.node.changes_since(query.0) {
            None => Changes::Lists(self.node.lists().clone()),
            Some(records) => Changes::Records(records),
        }
    }
}

impl Handler<OwnerQuery> for Controller {
    type Return = OwnerStatus;

    async fn handle(&mut self, query: OwnerQuery, _: &mut xtra::Context<Self>) -> OwnerStatus {
        self.node.owner_status(&query.0)
    }
}

impl Handler<Report> for Controller {
    type Return = ();

    async fn handle(&mut self, report: Report, _: &mut xtra::Context<Self>) {
        for command in self.node.handle(self.now(), report.0) {
            // Without a receiver the instance is ending, and its commands have no effect.
            let _ = self.commands.send(command);
        }
        metrics::gauge!("entry_unexpected_events").set(self.node.unexpected_count() as f64);
    }
}

impl Handler<StatusQuery> for Controller {
    type Return = Status;

    async fn handle(&mut self, _: StatusQuery, _: &mut xtra::Context<Self>) -> Status {
        self.node.status(self.now())
    }
}

/// Address of the control thread, which ends with the last address.
#[derive(Clone)]
pub(crate) struct ControlAddress(Address<Controller>);

impl ControlAddress {
    /// Starts the control thread with its own runtime. Commands arrive in the order in which the
    /// node gave them.
    pub(crate) fn start(
        node: Node,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Result<Self, Error> {
        let fault = |error: std::io::Error| Error::Thread {
            message: error.to_string(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .map_err(fault)?;
        let (address, mailbox) = Mailbox::unbounded();
        let controller = Controller {
            commands,
            node,
            started: Instant::now(),
        };
        let ticked = address.downgrade();
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.spawn(tick(ticked));
                runtime.block_on(xtra::run(mailbox, controller));
            })
            .map_err(fault)?;
        Ok(Self(address))
    }
}

async fn tick(address: xtra::WeakAddress<Controller>) {
    let mut interval = tokio::time::interval(TICK);
    // After a pause of the process one tick is enough, because the node reads the time itself.
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        if address.send(Report(Event::Ticked)).await.is_err() {
            return;
        }
    }
}

impl Control for ControlAddress {
    fn addresses(&self, model: Option<ModelId>) -> BoxFuture<'static, Option<AddressAnswer>> {
        let address = self.0.clone();
        async move { address.send(Addresses(model)).await.ok() }.boxed()
    }

    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes> {
        let address = self.0.clone();
        async move {
            let changes = address.send(ChangesSince(version)).await;
            changes.unwrap_or_else(|_| Changes::Records(Vec::new()))
        }
        .boxed()
    }

    fn owner_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus> {
        let address = self.0.clone();
        async move {
            let status = address.send(OwnerQuery(query)).await;
            status.unwrap_or(OwnerStatus::NoReply)
        }
        .boxed()
    }

    fn report(&self, event: Event) {
        // The mailbox is unbounded, so the first poll puts the event into it.
        let _ = self.0.send(Report(event)).detach().now_or_never();
    }

    fn status(&self) -> BoxFuture<'static, Option<Status>> {
        let address = self.0.clone();
        async move { address.send(StatusQuery).await.ok() }.boxed()
    }
}
