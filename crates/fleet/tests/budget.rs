//! Guards against instances that together send more retries than allowed.

use {fleet::RetryBudget, std::time::Duration, yare::parameterized};

const WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of retries in any window when each instance uses up its budget.
fn worst_window(instance_count: usize, requests_per_s: u64) -> usize {
    let budget = RetryBudget::new(0.2, WINDOW);
    let extra_share = 200.0 / instance_count as f64;
    let mut budgets = vec![budget; instance_count];
    let mut taken_at = Vec::new();
    for step in 0..3_000_u64 {
        let now = Duration::from_millis(step * 10);
        for budget in &mut budgets {
            if step * requests_per_s / 100 != (step + 1) * requests_per_s / 100 {
                budget.record_request(now);
            }
            while budget.try_retry(now, extra_share) {
                taken_at.push(now);
            }
        }
    }
    let in_window = |start: &Duration| {
        let end = *start + WINDOW;
        taken_at
            .iter()
            .filter(|at| (*start..end).contains(at))
            .count()
    };
    taken_at.iter().map(in_window).max().unwrap_or_default()
}

#[parameterized(
    one_idle = { 1, 0 },
    eight_idle = { 8, 0 },
    eight_busy = { 8, 20 },
    many = { 76, 5 },
)]
fn all_instances_together_stay_within_the_limit(instance_count: usize, requests_per_s: u64) {
    let requests = instance_count as f64 * requests_per_s as f64 * 10.0;
    let limit = 0.2 * requests + 200.0;
    let worst = worst_window(instance_count, requests_per_s) as f64;
    assert!(worst <= limit, "{worst} retries, {limit} allowed");
}

#[test]
fn budget_is_restored_after_the_window() {
    let mut budget = RetryBudget::new(0.0, WINDOW);
    assert!(budget.try_retry(Duration::from_secs(1), 1.0));
    assert!(!budget.try_retry(Duration::from_secs(10), 1.0));
    assert!(budget.try_retry(Duration::from_secs(12), 1.0));
}

/// Guards against idle instances that save up their retries and send them at once.
#[test]
fn unused_credit_is_limited() {
    let mut budget = RetryBudget::new(0.2, WINDOW);
    for request in 0..1_000_u32 {
        budget.record_request(Duration::from_millis(10) * request);
    }
    let now = Duration::from_secs(10);
    let count = (0..200).take_while(|_| budget.try_retry(now, 0.0)).count();
    assert!((35..=40).contains(&count), "{count} retries");
    assert!(!budget.try_retry(now + WINDOW * 2, 0.0));
}
