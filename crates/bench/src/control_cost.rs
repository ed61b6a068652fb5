use super::*;

/// Share of all slots that the demand keeps busy.
const LOAD: f64 = 0.6;

/// Duration of the demand.
const SPAN: Duration = Duration::from_secs(30);

/// Stated limit for control messages, in bytes per second and instance.
const CONTROL_BYTES_PER_S: f64 = 12_000.0;

/// Reads per second that the platform's table can serve.
const STORE_READS_PER_S: f64 = 2_000.0;
/// Writes per second that the platform's table can serve; stated as several hundred.
const STORE_WRITES_PER_S: f64 = 300.0;

/// Stated limit for the processor time of control, in percent of a core.
const CORE_PERCENT: f64 = 2.3;

/// Measures the cost of control: messages between instances, store requests and processor time.
pub(crate) fn measure(scenario: &Scenario, seed: u64) -> Result<Vec<Measure>> {
    let simulation =
        SimulationRun::steady(scenario, PolicyKind::Shipped, seed, LOAD, SPAN).run_to_end()?;
    let span_s = simulation.now.as_secs_f64();
    let instances = scenario.instance_count as f64;
    let new_measure = |name: &str, unit, value, limit| Measure {
        bound: None,
        limit,
        name: format!("{}.{name}", scenario.name),
        naive: None,
        unit,
        value,
    };
    let reads_per_s = simulation.table.read_count as f64 / span_s;
    let writes_per_s = simulation.table.write_count as f64 / span_s;
    let peer_bytes_per_s = simulation.results.peer_bytes as f64 / span_s / instances;
    let core_percent = 100.0 * simulation.processor_time.as_secs_f64() / span_s / instances;
    let event_us =
        1e6 * simulation.processor_time.as_secs_f64() / simulation.event_count.max(1) as f64;
    Ok(vec![
        new_measure(
            "control_bytes",
            "bytes/s",
            peer_bytes_per_s,
            Limit::AtMost(CONTROL_BYTES_PER_S),
        ),
        new_measure(
            "store_reads",
            "reads/s",
            reads_per_s,
            Limit::AtMost(STORE_READS_PER_S),
        ),
        new_measure(
            "store_writes",
            "writes/s",
            writes_per_s,
            Limit::AtMost(STORE_WRITES_PER_S),
        ),
        // Processor time depends on the machine, so it has no limit that can fail the run; the
        // stated limit is printed beside it.
        new_measure("control_core", "% of core", core_percent, Limit::None),
        new_measure("control_core_limit", "% of core", CORE_PERCENT, Limit::None),
        new_measure("control_event", "us/event", event_us, Limit::None),
    ])
}
