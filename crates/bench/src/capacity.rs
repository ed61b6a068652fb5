use super::*;

/// Duration of each run after the warm-up.
const SPAN: Duration = Duration::from_secs(20);

/// Linear dependence of a measured value on a size of the deployment.
#[derive(Debug, Serialize)]
pub(crate) struct Slope {
    /// Value at size zero.
    pub(crate) base: f64,
    pub(crate) name: &'static str,
    /// Measured pairs of size and value.
    pub(crate) points: Vec<(f64, f64)>,
    /// Increase of the value per unit of size.
    pub(crate) slope: f64,
    pub(crate) unit: &'static str,
}

impl Slope {
    /// Fits a straight line to the points by least squares.
    pub(crate) fn fit(name: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for (size, value) in &points {
            covariance += (size - mean_size) * (value - mean_value);
            variance += (size - mean_size).powi(2);
        }
        let slope = covariance / variance;
        Self {
            base: mean_value - slope * mean_size,
            name,
            points,
            slope,
            unit,
        }
    }

    pub(crate) fn format_line(&self) -> String {
        let mut points = String::new();
        for (size, value) in &self.points {
            points.push_str(&format!(" {size:.0}:{value:.3}"));
        }
        format!(
            "{:<34} {:>12.4} {} a unit, base {:.3}; measured{points}",
            self.name, self.slope, self.unit, self.base
        )
    }
}

/// Measures the slopes from which docs/CAPACITY.md computes the needs of each role at the design
/// size. Processor time and memory depend on the machine.
pub(crate) fn slopes(seed: u64) -> Result<Vec<Slope>> {
    let base = Scenario {
        service_call_one_in: 0,
        ..Scenario::island()
    };
    let targets = [20_usize, 40, 80, 160].map(|engine_count| Scenario {
        engine_count,
        ..base.clone()
    });
    let peers = [2_usize, 4, 8, 16].map(|instance_count| Scenario {
        instance_count,
        ..base.clone()
    });
    let accounts = [10_usize, 50, 100, 400].map(|account_count| Scenario {
        account_count,
        ..base.clone()
    });
    // Memory is measured first, because the later runs leave freed memory behind, and growth within
    // it would not show in resident memory.
    let mut slopes = memory_slopes(&targets, &accounts)?;
    slopes.extend(idle_slopes(&targets, &peers, seed)?);
    slopes.extend([
        prompt_cost_slope(&base, seed)?,
        demand_bytes_slope(&base, seed)?,
        table_write_slope(&Scenario::region(), seed)?,
        config_change_slope(&base, seed)?,
    ]);
    Ok(slopes)
}

/// Slopes of instances without requests.
fn idle_slopes(targets: &[Scenario], peers: &[Scenario], seed: u64) -> Result<Vec<Slope>> {
    let by_targets = |scenario: &Scenario| scenario.engine_count as f64;
    let by_peers = |scenario: &Scenario| scenario.instance_count as f64;
    Ok(vec![
        idle_slope(
            targets,
            seed,
            "peer bytes/s by target",
            "B/s",
            by_targets,
            peer_bytes_per_s,
        )?,
        idle_slope(
            peers,
            seed,
            "peer bytes/s by peer",
            "B/s",
            by_peers,
            peer_bytes_per_s,
        )?,
        idle_slope(
            targets,
            seed,
            "idle core by target",
            "us/s",
            by_targets,
            core_us_per_s,
        )?,
        idle_slope(
            peers,
            seed,
            "idle core by peer",
            "us/s",
            by_peers,
            core_us_per_s,
        )?,
        idle_slope(
            peers,
            seed,
            "table reads/s by instance",
            "1/s",
            by_peers,
            reads_per_s,
        )?,
    ])
}

fn idle_slope(
    scenarios: &[Scenario],
    seed: u64,
    name: &'static str,
    unit: &'static str,
    size: fn(&Scenario) -> f64,
    value: fn(&Simulation) -> f64,
) -> Result<Slope> {
    let mut points = Vec::new();
    for scenario in scenarios {
        let mut simulation = Simulation::new(scenario.clone(), PolicyKind::Shipped, seed)?;
        simulation.run(WARM_UP + SPAN);
        points.push((size(scenario), value(&simulation)));
    }
    Ok(Slope::fit(name, unit, points))
}

fn peer_bytes_per_s(simulation: &Simulation) -> f64 {
    simulation.results.peer_bytes as f64
        / simulation.now.as_secs_f64()
        / simulation.scenario.instance_count as f64
}

fn core_us_per_s(simulation: &Simulation) -> f64 {
    1e6 * simulation.processor_time.as_secs_f64()
        / simulation.now.as_secs_f64()
        / simulation.scenario.instance_count as f64
}

fn reads_per_s(simulation: &Simulation) -> f64 {
    simulation.table.read_count as f64 / simulation.now.as_secs_f64()
}

/// Processor time per second and instance, by prompts per second and instance.
fn prompt_cost_slope(scenario: &Scenario, seed: u64) -> Result<Slope> {
    let mut points = Vec::new();
    for load in [0.1, 0.2, 0.4, 0.6] {
        let instances = scenario.instance_count as f64;
        let mut simulation =
            SimulationRun::steady(scenario, PolicyKind::Shipped, seed, load, SPAN).prepare()?;
        simulation.run(WARM_UP);
        let before = simulation.processor_time;
        simulation.run(WARM_UP + SPAN);
        let processor_time_us =
            1e6 * (simulation.processor_time - before).as_secs_f64() / instances;
        let prompts_per_s = simulation.arrivals.len() as f64 / SPAN.as_secs_f64() / instances;
        points.push((prompts_per_s, processor_time_us / SPAN.as_secs_f64()));
    }
    Ok(Slope::fit("core by prompts/s", "us/s", points))
}

/// Bytes between peers per second and instance, by requests in progress per instance. There are so
/// many accounts that nearly every request in progress is of a different one.
fn demand_bytes_slope(scenario: &Scenario, seed: u64) -> Result<Slope> {
    let scenario = Scenario {
        account_count: 400,
        ..scenario.clone()
    };
    let mut points = Vec::new();
    for load in [0.1, 0.2, 0.4, 0.6] {
        let mut simulation =
            SimulationRun::steady(&scenario, PolicyKind::Shipped, seed, load, SPAN).prepare()?;
        let start = WARM_UP + Duration::from_secs(5);
        simulation.run(start);
        let (bytes_before, mut request_count) = (simulation.results.peer_bytes, 0);
        let mut now = start;
        while now < WARM_UP + SPAN {
            now += Duration::from_millis(100);
            simulation.run(now);
            request_count += simulation.active.len();
        }
        let span_s = (now - start).as_secs_f64();
        let instances = scenario.instance_count as f64;
        let mean_count = request_count as f64 / (span_s * 10.0) / instances;
        let bytes = (simulation.results.peer_bytes - bytes_before) as f64 / span_s / instances;
        points.push((mean_count, bytes));
    }
    Ok(Slope::fit("peer bytes/s by request", "B/s", points))
}

/// Table writes per second by non-repeatable calls per second, both over all instances.
fn table_write_slope(scenario: &Scenario, seed: u64) -> Result<Slope> {
    let mut points = Vec::new();
    for load in [0.1, 0.2, 0.4, 0.6] {
        let mut simulation =
            SimulationRun::steady(scenario, PolicyKind::Shipped, seed, load, SPAN).prepare()?;
        simulation.run(WARM_UP);
        let before = simulation.table.write_count;
        simulation.run(WARM_UP + SPAN);
        let kind = OperationKind::NonRepeatable;
        let calls = simulation
            .arrivals
            .iter()
            .filter(|arrival| arrival.request_kind == RequestKind::Call { kind });
        let span_s = SPAN.as_secs_f64();
        let write_count = simulation.table.write_count - before;
        points.push((calls.count() as f64 / span_s, write_count as f64 / span_s));
    }
    Ok(Slope::fit("table writes/s by calls/s", "1/s", points))
}

/// Bytes between peers per instance, by configuration changes.
fn config_change_slope(scenario: &Scenario, seed: u64) -> Result<Slope> {
    let mut points = Vec::new();
    for change_count in [5_u64, 10, 20, 40] {
        let mut simulation = Simulation::new(scenario.clone(), PolicyKind::Shipped, seed)?;
        simulation.run(WARM_UP);
        let before = simulation.results.peer_bytes;
        for index in 0..change_count {
            let delay = SPAN.mul_f64(index as f64 / change_count as f64);
            let event = Event::EditSubmitted {
                base_version: None,
                change: Change::PutAccount {
                    account: build_account("plan", index),
                    id: format!("added-{index}").into(),
                },
                operation: format!("operation-{index}").into(),
            };
            simulation.send_event(delay, 0, event);
        }
        simulation.run(WARM_UP + SPAN);
        let bytes =
            (simulation.results.peer_bytes - before) as f64 / scenario.instance_count as f64;
        points.push((change_count as f64, bytes));
    }
    Ok(Slope::fit("peer bytes by change", "bytes", points))
}

/// Account with one key, which differs for each `index`.
pub(crate) fn build_account(plan: &str, index: u64) -> Account {
    Account {
        key_hashes: [hash_key(&format!("key of account {index}"))].into(),
        plan: plan.into(),
    }
}
