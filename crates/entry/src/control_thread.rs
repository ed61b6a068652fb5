use super::*;

/// Maximum interval between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interface of the node for tasks on the traffic threads.
pub trait Control: Send + Sync + 'static {
    /// Returns entry addresses for a caller; none when the control thread has stopped.
    fn addresses(&self, query: AddressQuery) -> BoxFuture<'static, Option<AddressAnswer>>;

    /// Returns the changes after a version, or the complete lists if the changes are not available.
    fn changes_since(&self, version: ConfigVersion) -> BoxFuture<'static, Changes>;

    /// Returns the state of a call that this instance claimed.
    fn owner_status(&self, query: CallQuery) -> BoxFuture<'static, OwnerStatus>;

    /// Passes an event to the node. Events from one task are handled in order.
    fn report(&self, event: Event);

    /// Returns the status of the instance, its peers and its targets; none when the control thread
    /// has stopped.
    fn status(&self) -> BoxFuture<'static, Option<Status>>;
}

/// Parameters of a query for entry addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressQuery {
    /// Failure domain of the caller, whose addresses come first; none if unknown.
    pub failure_domain: Option<FailureDomain>,
    /// Model that the caller is going to use; none if unknown.
    pub model: Option<ModelId>,
}

/// Actor that owns the node and handles the messages of the traffic threads.
struct Controller {
    commands: mpsc::UnboundedSender<Command>,
    node: Node,
    started: Instant,
    /// Time since the start at which the node requests an additional tick; none for no request.
    wake_at: watch::Sender<Option<Duration>>,
}

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

impl Handler<AddressQuery> for Controller {
    type Return = AddressAnswer;

    async fn handle(&mut self, query: AddressQuery, _: &mut xtra::Context<Self>) -> AddressAnswer {
        let (model, domain) = (query.model.as_ref(), query.failure_domain.as_ref());
        self.node.addresses(self.now(), model, domain)
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
            // Without a receiver the instance is stopping, and commands have no effect.
            let _ = self.commands.send(command);
        }
        let wake_at = self.node.wake_at();
        self.wake_at.send_if_modified(|current| {
            let is_changed = *current != wake_at;
            *current = wake_at;
            is_changed
        });
        metrics::gauge!("entry_unexpected_events").set(self.node.unexpected_count() as f64);
    }
}

impl Handler<StatusQuery> for Controller {
    type Return = Status;

    async fn handle(&mut self, _: StatusQuery, _: &mut xtra::Context<Self>) -> Status {
        self.node.status(self.now())
    }
}

/// Address of the controller. The control thread stops when the last address is dropped.
#[derive(Clone)]
pub(crate) struct ControlAddress(Address<Controller>);

impl ControlAddress {
    /// Starts the control thread with a runtime of its own. `commands` receives the commands in the
    /// order in which the node issued them.
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
        let (wake_at, wake_times) = watch::channel(None);
        let started = Instant::now();
        let controller = Controller {
            commands,
            node,
            started,
            wake_at,
        };
        let ticker = Ticker {
            controller: address.downgrade(),
            started,
            wake_times,
        };
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                runtime.spawn(ticker.run());
                runtime.block_on(xtra::run(mailbox, controller));
            })
            .map_err(fault)?;
        Ok(Self(address))
    }
}

/// Sends ticks to the node: at least one per `TICK_INTERVAL`, and additional ones on request.
struct Ticker {
    controller: xtra::WeakAddress<Controller>,
    started: Instant,
    wake_times: watch::Receiver<Option<Duration>>,
}

impl Ticker {
    async fn run(mut self) {
        // Missed ticks are not made up for, because the controller passes the current time with
        // each.
        let mut regular = Instant::now();
        loop {
            let wake_at = *self.wake_times.borrow_and_update();
            let requested = wake_at.map_or(regular, |at| self.started + at);
            let is_due = tokio::select! {
                changed = self.wake_times.changed() => match changed {
                    Err(_) => return,
                    Ok(()) => false,
                },
                () = tokio::time::sleep_until(regular.min(requested).into()) => true,
            };
            if !is_due {
                continue;
            }
            if self.controller.send(Report(Event::Ticked)).await.is_err() {
                return;
            }
            regular = Instant::now() + TICK_INTERVAL;
        }
    }
}

impl Control for ControlAddress {
    fn addresses(&self, query: AddressQuery) -> BoxFuture<'static, Option<AddressAnswer>> {
        let address = self.0.clone();
        async move { address.send(query).await.ok() }.boxed()
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
        // The mailbox is unbounded, so the first poll enqueues the event.
        let _ = self.0.send(Report(event)).detach().now_or_never();
    }

    fn status(&self) -> BoxFuture<'static, Option<Status>> {
        let address = self.0.clone();
        async move { address.send(StatusQuery).await.ok() }.boxed()
    }
}
