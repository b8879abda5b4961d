//! Retries of a fleet whose instances have independent budgets.

use policy::limits::RetryBudget;

/// Returns the retries of all instances in each period of half a second, if each instance retries
/// as often as its budget allows.
fn simulate(
    instances: usize,
    reserve: f64,
    requests_per_period: usize,
    periods: usize,
) -> Vec<usize> {
    let budgets: Vec<RetryBudget> = (0..instances)
        .map(|_| RetryBudget::with_reserve(0.19, 1.0))
        .collect();
    let mut retries_made = Vec::new();
    for period in 0..periods {
        for budget in &budgets {
            budget.set_reserve(reserve / instances as f64, 500_000);
        }
        for request in 0..requests_per_period {
            budgets[(period + request) % instances].earn();
        }
        let retries_taken = budgets
            .iter()
            .map(|budget| (0..1_000).take_while(|_| budget.take()).count());
        retries_made.push(retries_taken.sum());
    }
    retries_made
}

#[test]
fn a_fleet_stays_within_its_bound_in_every_ten_seconds() {
    for requests in [0, 5, 30] {
        let retries_made = simulate(32, 56.0, requests, 120);
        for window in retries_made.windows(20) {
            let retries: usize = window.iter().sum();
            let bound = 0.2 * (requests * 20) as f64 + 56.0;
            assert!(retries as f64 <= bound, "{retries} over {bound}");
        }
    }
}

#[test]
fn a_fleet_uses_most_of_its_bound() {
    let retries_made = simulate(32, 56.0, 30, 120);
    let retries: usize = retries_made.iter().sum();
    assert!(retries as f64 >= 0.15 * (30 * 120) as f64);
}

#[test]
fn single_instance_has_the_full_reserve() {
    let budget = RetryBudget::with_reserve(0.17, 1.0);
    budget.set_reserve(56.0, 500_000);
    assert!((0..20).all(|_| budget.take()));
}
