use super::*;

/// Nodes per measurement; so many that free memory of the allocator hardly affects the mean.
const NODE_COUNT: usize = 50;

/// Slots that each target reports; enough to run all requests of a measurement at once.
const SLOT_COUNT: u32 = 1_000;

/// Measures how the memory of a node grows with the number of targets, accounts, requests in
/// progress and claimed calls.
pub(crate) fn memory_slopes(targets: &[Scenario], accounts: &[Scenario]) -> Result<Vec<Slope>> {
    let mut retained_nodes = Vec::new();
    let mut slopes = Vec::new();
    let base = Scenario::island();
    for (name, scenarios) in [
        ("memory by target", targets),
        ("memory by account", accounts),
    ] {
        let mut points = Vec::new();
        for scenario in scenarios {
            let count_varied = match name {
                "memory by target" => scenario.engine_count,
                _ => scenario.account_count,
            };
            let bytes = memory_growth(&mut retained_nodes, || Ok(build_node(scenario)))?;
            points.push((count_varied as f64, bytes));
        }
        slopes.push(Slope::fit(name, "bytes", points));
    }
    for (name, is_call) in [("memory by request", false), ("memory by call", true)] {
        let mut points = Vec::new();
        for count in [100_usize, 200, 400, 800] {
            let bytes = memory_growth(&mut retained_nodes, || {
                build_busy_node(&base, count, is_call)
            })?;
            points.push((count as f64, bytes));
        }
        slopes.push(Slope::fit(name, "bytes", points));
    }
    Ok(slopes)
}

/// Mean growth of resident memory per node. The nodes stay in `retained_nodes`, because freed
/// memory would be reused and hide the growth.
fn memory_growth(retained_nodes: &mut Vec<Node>, build: impl Fn() -> Result<Node>) -> Result<f64> {
    let before = resident_bytes()?;
    for _ in 0..NODE_COUNT {
        retained_nodes.push(build()?);
    }
    Ok((resident_bytes()? - before) / NODE_COUNT as f64)
}

/// Builds a node that knows all targets of a scenario and has its own copy of the operator lists.
fn build_node(scenario: &Scenario) -> Node {
    let identity = scenario.identity(0);
    let mut node = Node::new(NodeSettings::default(), identity, SystemTime::UNIX_EPOCH);
    let mut lists = scenario.lists();
    for (index, entry) in lists.accounts.values_mut().enumerate() {
        *entry = capacity::build_account("plan", index as u64);
    }
    node.handle(Duration::ZERO, Event::ListsReceived(Arc::new(lists)));
    let mut listings = Vec::new();
    listings.extend(scenario.engines().into_iter().map(|engine| engine.listing));
    let services = scenario.services().into_iter();
    listings.extend(services.map(|service| service.listing));
    node.handle(Duration::ZERO, Event::ListingRead { listings });
    report_loads(&mut node, scenario, Duration::ZERO);
    node
}

/// Sends the node load reports of all targets, with `SLOT_COUNT` slots each.
fn report_loads(node: &mut Node, scenario: &Scenario, now: Duration) {
    for mut engine in scenario.engines() {
        let mut report = engine.report(Duration::ZERO, Duration::from_secs(1));
        report.slot_count = SLOT_COUNT;
        let target = engine.listing.id;
        node.handle(now, Event::LoadReceived { report, target });
    }
    for service in scenario.services() {
        let mut report = service.report();
        report.slot_count = SLOT_COUNT;
        let target = service.listing.id;
        node.handle(now, Event::LoadReceived { report, target });
    }
}

/// Builds a node with `count` requests in progress, either calls or prompts.
fn build_busy_node(scenario: &Scenario, count: usize, is_call: bool) -> Result<Node> {
    let mut node = build_node(scenario);
    let mut table = FakeTable::with_lists(&scenario.lists())?;
    let mut now = Duration::ZERO;
    while now < WARM_UP {
        now += Duration::from_millis(50);
        if now.subsec_millis() == 0 {
            report_loads(&mut node, scenario, now);
        }
        handle_event(&mut node, &mut table, now, Event::Ticked);
    }
    let mut dispatch_count = 0;
    for index in 0..count {
        let arrival = Arrival {
            account: index % scenario.account_count,
            at: now,
            prefix: index as u64,
            request_kind: RequestKind::Prompt {
                answer_tokens: 40,
                is_long: false,
            },
        };
        let request: RequestId = format!("r{index}-0").into();
        let event = if is_call {
            let kind = OperationKind::NonRepeatable;
            Event::CallSubmitted(caller::call_submission(
                index, &arrival, kind, DEADLINE, request,
            ))
        } else {
            Event::GenerateSubmitted(caller::prompt_submission(
                index, &arrival, DEADLINE, request,
            ))
        };
        dispatch_count += handle_event(&mut node, &mut table, now, event);
    }
    if dispatch_count != count {
        bail!("{dispatch_count} of {count} requests were dispatched");
    }
    Ok(node)
}

/// Passes an event to the node and executes the store requests that follow from it. Returns the
/// number of dispatched requests.
fn handle_event(node: &mut Node, table: &mut FakeTable, now: Duration, event: Event) -> usize {
    let mut dispatch_count = 0;
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        for command in node.handle(now, event) {
            match command {
                Command::DispatchCall { .. } | Command::DispatchGenerate { .. } => {
                    dispatch_count += 1;
                }
                Command::Store { request, ticket } => {
                    let result = table.execute(&request);
                    events.push_back(Event::StoreReplied { result, ticket });
                }
                _ => {}
            }
        }
    }
    dispatch_count
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> Result<f64> {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).unwrap_or("0");
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}
