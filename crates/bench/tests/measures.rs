//! Tests that all measures keep their limits and that equal seeds give equal results. Measures of
//! processor time have no limit.

use {std::process::Command, yare::parameterized};

fn bench(name: &str, scenario: &str, seed: &str) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .args([name, "--scenario", scenario, "--seed", seed])
        .output()
        .expect("the program is built with its tests");
    let text = String::from_utf8(output.stdout).expect("the table is text");
    (output.status.success(), text)
}

#[parameterized(
    island_control_cost = { "control_cost", "island" },
    island_overload = { "overload", "island" },
    island_recovery = { "recovery", "island" },
    island_short_work = { "short_work", "island" },
    island_swing = { "swing", "island" },
    region_control_cost = { "control_cost", "region" },
    region_overload = { "overload", "region" },
    region_recovery = { "recovery", "region" },
    region_short_work = { "short_work", "region" },
    region_swing = { "swing", "region" },
)]
fn measures_keep_their_limits(name: &str, scenario: &str) {
    let (holds, table) = bench(name, scenario, "1");
    assert!(holds, "\n{table}");
}

#[test]
fn equal_seeds_give_equal_tables() {
    let (_, first) = bench("short_work", "region", "2");
    let (_, second) = bench("short_work", "region", "2");
    assert!(first.lines().count() > 5, "{first}");
    assert_eq!(first, second);
}
