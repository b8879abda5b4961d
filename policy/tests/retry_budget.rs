//! Retries of a fleet whose instances have independent budgets.

use policy::limits::RESERVE_WINDOW_US;
use policy::limits::RetryBudget;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PERIOD_US: u64 = 500_000;
const WINDOW_PERIODS: usize = (RESERVE_WINDOW_US / PERIOD_US) as usize;
/// The users' bound: the reserve, and the share of requests.
const RESERVE: f64 = 56.0;
const SHARE: f64 = 0.2;
/// What instances use of it.
const USED_PART: f64 = 0.95;

/// Returns the retries of all instances in each period of half a second, if each instance retries
/// as often as its budget allows.
fn simulate(
    instances: usize,
    reserve: f64,
    requests_per_period: usize,
    periods: usize,
) -> Vec<usize> {
    let budgets: Vec<RetryBudget> = (0..instances)
        .map(|_| RetryBudget::without_reserve(0.19))
        .collect();
    let mut retries_made = Vec::new();
    for period in 0..periods {
        for budget in &budgets {
            budget.set_reserve(reserve / instances as f64, PERIOD_US);
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

/// The former process of an instance may have spent its part just before.
#[test]
fn single_instance_has_the_full_reserve_after_a_window() {
    let budget = RetryBudget::without_reserve(0.0);
    for _ in 0..WINDOW_PERIODS {
        budget.set_reserve(56.0, PERIOD_US);
    }
    assert!(budget.left() <= 56.0 * 0.4, "{} at once", budget.left());
    budget.set_reserve(56.0, PERIOD_US);
    assert!((0..30).all(|_| budget.take()));
}

#[test]
fn an_instance_of_a_fleet_that_starts_for_the_first_time_has_its_reserve_at_once() {
    let budget = RetryBudget::with_unspent_reserve(0.0);
    budget.set_reserve(10.0, PERIOD_US);
    assert!(budget.left() >= 6.0, "{}", budget.left());
    while budget.take() {}
    // A raise is deferred as for any other.
    budget.set_reserve(20.0, PERIOD_US);
    assert!(budget.left() < 2.0, "{}", budget.left());
}

struct Process {
    budget: RetryBudget,
    /// Period in which it ends, if it has announced that it leaves.
    ends_at: Option<usize>,
}

/// A fleet whose instances stop, die and start again at random.
struct Churn {
    rng: ChaCha8Rng,
    processes: Vec<Option<Process>>,
    /// Instances that died without a word and are not back.
    dead: Vec<bool>,
    /// Requests and retries in each period.
    requests: Vec<usize>,
    retries: Vec<usize>,
}

impl Churn {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(2..50);
        let process = || {
            Some(Process {
                budget: RetryBudget::with_unspent_reserve(SHARE * USED_PART),
                ends_at: None,
            })
        };
        Self {
            processes: (0..instances).map(|_| process()).collect(),
            dead: vec![false; instances],
            rng,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Stops, kills and starts instances.
    fn change(&mut self, period: usize, rate: f64) {
        for index in 0..self.processes.len() {
            let Some(process) = &mut self.processes[index] else {
                if self.rng.random_bool(0.3) {
                    self.dead[index] = false;
                    self.processes[index] = Some(Process {
                        budget: RetryBudget::without_reserve(SHARE * USED_PART),
                        ends_at: None,
                    });
                }
                continue;
            };
            if process.ends_at.is_some_and(|at| at <= period) {
                self.processes[index] = None;
            } else if process.ends_at.is_none() && self.rng.random_bool(rate) {
                match self.rng.random_bool(0.5) {
                    true => process.ends_at = Some(period + self.rng.random_range(0..10)),
                    false => {
                        self.processes[index] = None;
                        self.dead[index] = true;
                    }
                }
            }
        }
    }

    fn play(&mut self, periods: usize) {
        let rate = self.rng.random_range(0.0..0.05);
        let demand = self.rng.random_range(0.2..1.0);
        let requests_per_period = self.rng.random_range(0..60);
        for period in 0..periods {
            self.change(period, rate);
            let present = self.processes.iter().flatten();
            let present = present.filter(|process| process.ends_at.is_none()).count();
            let dead = self.dead.iter().filter(|is_dead| **is_dead).count();
            let sharers = (present + dead).max(1) as f64;
            let reserve = RESERVE * USED_PART / sharers;
            let running: Vec<&Process> = self.processes.iter().flatten().collect();
            for process in &running {
                if process.ends_at.is_none() {
                    process.budget.set_reserve(reserve, PERIOD_US);
                }
            }
            if running.is_empty() {
                self.requests.push(0);
                self.retries.push(0);
                continue;
            }
            for _ in 0..requests_per_period {
                let process = running[self.rng.random_range(0..running.len())];
                process.budget.earn();
            }
            let mut retries = 0;
            for process in &running {
                while self.rng.random_bool(demand) && process.budget.take() {
                    retries += 1;
                }
            }
            self.requests.push(requests_per_period);
            self.retries.push(retries);
        }
    }

    /// The first window with more retries than the users allow: its number, the retries and the
    /// bound.
    fn excess(&self) -> Option<(usize, usize, f64)> {
        let sum = |values: &[usize], from: usize| -> usize {
            let to = (from + WINDOW_PERIODS).min(values.len());
            values[from.min(to)..to].iter().sum()
        };
        (0..self.retries.len()).find_map(|from| {
            let retries = sum(&self.retries, from);
            let earlier = [0, WINDOW_PERIODS / 2, WINDOW_PERIODS];
            let requests = earlier
                .iter()
                .filter_map(|periods| from.checked_sub(*periods))
                .map(|from| sum(&self.requests, from));
            let bound = RESERVE + SHARE * requests.max().unwrap_or(0) as f64;
            (retries as f64 > bound).then_some((from, retries, bound))
        })
    }
}

/// Guards against a fleet that exceeds its bound while instances stop, die and start again: those
/// that start begin without what their former processes have spent, and the part of those that
/// stop is not spent twice within a window.
#[test]
fn a_fleet_stays_within_its_bound_while_instances_stop_and_start() {
    let scenarios = std::env::var("RETRY_DAYS").map_or(300, |text| text.parse().unwrap());
    let mut broken = Vec::new();
    for seed in 0..scenarios {
        let mut churn = Churn::new(seed);
        churn.play(160);
        broken.extend(churn.excess().map(|excess| (seed, excess)));
    }
    let first = &broken[..broken.len().min(5)];
    assert!(
        broken.is_empty(),
        "{} of {scenarios}: {first:?}",
        broken.len()
    );
}
