//! Random scenarios: the bound holds under every fault, and nobody below its quota is refused
//! while nothing fails.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::Network;
use crate::tally::Limit;
use crate::tally::SECOND_US;

/// Sets the number of scenarios.
const COUNT_VARIABLE: &str = "QUOTA_SCENARIOS";
/// Sets the seed of the first scenario.
const SEED_VARIABLE: &str = "QUOTA_SEED";
const DEFAULT_COUNT: u64 = 60;
const STEP_US: u64 = 20_000;
/// Time after the first start in which instances find each other.
const WARM_UP_US: u64 = 4 * SECOND_US;
/// The users' quotas relative to usual demand.
const QUOTA_FACTOR: f64 = 1.6;
/// Accepted refusals below the quota while something fails.
const MAX_REFUSED_SHARE: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Burst {
    from_us: u64,
    until_us: u64,
    factor: f64,
}

struct Scenario {
    fleet: Fleet,
    rng: ChaCha8Rng,
    demands: Vec<f64>,
    bursts: Vec<Vec<Burst>>,
    ends_us: u64,
    has_faults: bool,
    /// Undoes a fault at a time: the instance, and what to do.
    repairs: Vec<(u64, Repair)>,
}

#[derive(Clone, Copy, Debug)]
enum Repair {
    Start(usize),
    Heal,
}

#[derive(Debug, Default)]
struct Results {
    below: usize,
    below_refused: usize,
    messages_per_s: f64,
}

impl Scenario {
    fn new(seed: u64, has_faults: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = match rng.random_range(0..4) {
            0 => rng.random_range(1..4),
            1 => 101,
            _ => rng.random_range(4..40),
        };
        let total = instances as f64 * rng.random_range(8.0..20.0);
        let demands: Vec<f64> = (0..rng.random_range(1..5))
            .map(|_| (total * rng.random_range(-6.5f64..-1.2).exp()).max(0.1))
            .collect();
        let limits = demands.iter().map(|demand| {
            let rate_per_s = QUOTA_FACTOR * demand;
            Limit {
                from_us: 0,
                rate_per_s,
                burst: (rate_per_s * rng.random_range(0.5..4.0)).ceil().max(3.0),
            }
        });
        let limits: Vec<Limit> = limits.collect();
        let network = Network {
            loss: [0.0, 0.01, 0.025][rng.random_range(0..3)],
            is_throttled: rng.random_bool(0.3),
        };
        let mut fleet = Fleet::new(rng.random(), instances, &limits, network);
        fleet.counted_from_us = fleet.now_us + WARM_UP_US;
        let ends_us = fleet.now_us + rng.random_range(15..40) * SECOND_US;
        let mut bursts = vec![Vec::new(); demands.len()];
        for burst in &mut bursts {
            for factor in [7.5, 2.0] {
                if rng.random_bool(0.5) {
                    let from_us = rng.random_range(fleet.now_us..ends_us);
                    burst.push(Burst {
                        from_us,
                        until_us: from_us + rng.random_range(1..10) * SECOND_US,
                        factor,
                    });
                }
            }
        }
        Self {
            has_faults,
            fleet,
            rng,
            demands,
            bursts,
            ends_us,
            repairs: Vec::new(),
        }
    }

    fn run(&mut self) -> Results {
        let began_us = self.fleet.now_us;
        while self.fleet.now_us < self.ends_us {
            self.offer_requests();
            if self.fleet.now_us > began_us + WARM_UP_US {
                self.change_limits();
                if self.has_faults {
                    self.inject_fault();
                }
            }
            self.repair();
            let until_us = self.fleet.now_us + STEP_US;
            self.fleet.run_until(until_us);
        }
        let run_s = (self.ends_us - began_us) as f64 / 1e6;
        let tallies = &self.fleet.tallies;
        Results {
            below: tallies.iter().map(|tally| tally.below).sum(),
            below_refused: tallies.iter().map(|tally| tally.below_refused).sum(),
            messages_per_s: self.fleet.sent_messages as f64 / run_s / self.fleet.instances() as f64,
        }
    }

    fn offer_requests(&mut self) {
        let now_us = self.fleet.now_us;
        for customer in 0..self.demands.len() {
            let is_active = |burst: &&Burst| (burst.from_us..burst.until_us).contains(&now_us);
            let factors = self.bursts[customer].iter().filter(is_active);
            let factor: f64 = factors.map(|burst| burst.factor).product();
            let expected = self.demands[customer] * factor * STEP_US as f64 / 1e6;
            let mut at_us = 0.0;
            loop {
                let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
                at_us -= uniform.ln() / expected * STEP_US as f64;
                if at_us >= STEP_US as f64 {
                    break;
                }
                let node = self.rng.random_range(0..self.fleet.instances());
                if self.fleet.is_up(node) {
                    self.fleet.send_request(node, customer);
                }
            }
        }
    }

    fn change_limits(&mut self) {
        if !self.rng.random_bool(0.001) {
            return;
        }
        let customer = self.rng.random_range(0..self.demands.len());
        let limit = self.fleet.tallies[customer].limit();
        let factor = self.rng.random_range(0.1..2.0);
        let rate_per_s = (limit.rate_per_s * factor).max(0.1);
        let burst = (limit.burst * factor).ceil().max(1.0);
        self.fleet.change_limit(customer, rate_per_s, burst);
    }

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.005) {
            return;
        }
        let now_us = self.fleet.now_us;
        let instances = self.fleet.instances();
        let is_owner = self.rng.random_bool(0.4);
        let node = match is_owner {
            true => self.fleet.owner(),
            false => self.rng.random_range(0..instances),
        };
        let later_us = now_us + self.rng.random_range(300_000..8 * SECOND_US);
        let kind = self.rng.random_range(0..12);
        match kind {
            0..3 if self.fleet.is_up(node) => {
                self.fleet.kill(node);
                self.repairs.push((later_us, Repair::Start(node)));
            }
            3..5 if self.fleet.is_up(node) => {
                self.fleet.stop(node);
                let later_us = later_us + 4 * SECOND_US;
                self.repairs.push((later_us, Repair::Start(node)));
            }
            5..8 => {
                let for_us = self.rng.random_range(200_000..6 * SECOND_US);
                self.fleet.freeze(node, for_us);
            }
            8..10 => {
                let share = self.rng.random_range(0.0..1.0);
                for number in 0..instances {
                    let side = u32::from(self.rng.random_bool(share));
                    self.fleet.cut(number, side);
                }
                self.repairs.push((later_us, Repair::Heal));
            }
            10 => {
                // Each instance alone.
                for number in 0..instances {
                    self.fleet.cut(number, number as u32);
                }
                self.repairs.push((later_us, Repair::Heal));
            }
            11 => {
                for number in 0..instances {
                    self.fleet.kill(number);
                    let pause_us = self.rng.random_range(100_000..600_000);
                    self.repairs
                        .push((now_us + pause_us, Repair::Start(number)));
                }
            }
            _ => {}
        }
    }

    fn repair(&mut self) {
        let now_us = self.fleet.now_us;
        let repairs = std::mem::take(&mut self.repairs);
        for (at_us, repair) in repairs {
            if at_us > now_us {
                self.repairs.push((at_us, repair));
                continue;
            }
            match repair {
                Repair::Start(number) if !self.fleet.is_up(number) => self.fleet.start(number),
                Repair::Start(_) => {}
                Repair::Heal => {
                    for number in 0..self.fleet.instances() {
                        self.fleet.cut(number, 0);
                    }
                }
            }
        }
    }
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("not a number"))
}

/// Results of all scenarios with or without faults.
#[derive(Debug, Default)]
struct Summary {
    /// Seed, customer, end of the window in microseconds, requests and their share of the bound.
    over: Vec<(u64, usize, u64, usize, f64)>,
    /// Seed, refused requests below the quota, and all of them.
    refused: Vec<(u64, usize, usize)>,
    below: usize,
    below_refused: usize,
    worst: f64,
}

fn run_all(has_faults: bool) -> Summary {
    let first = variable(SEED_VARIABLE, 1);
    let count = variable(COUNT_VARIABLE, DEFAULT_COUNT) / 2;
    let mut summary = Summary::default();
    let mut messages = Vec::new();
    for seed in first..first + count {
        let mut scenario = Scenario::new(seed, has_faults);
        let results = scenario.run();
        for (customer, tally) in scenario.fleet.tallies.iter_mut().enumerate() {
            let (excess, at_us, requests) = tally.worst_window();
            summary.worst = summary.worst.max(excess);
            if excess > 1.0 {
                let entry = (seed, customer, at_us, requests, excess);
                summary.over.push(entry);
            }
        }
        messages.push(results.messages_per_s);
        if results.below_refused > 0 {
            let entry = (seed, results.below_refused, results.below);
            summary.refused.push(entry);
        }
        summary.below += results.below;
        summary.below_refused += results.below_refused;
    }
    messages.sort_by(f64::total_cmp);
    println!(
        "scenarios={count} has_faults={has_faults} over={} worst={:.3} below={} refused={} messages_per_s_median={:.1} messages_per_s_max={:.1}",
        summary.over.len(),
        summary.worst,
        summary.below,
        summary.below_refused,
        messages[messages.len() / 2],
        messages[messages.len() - 1]
    );
    summary
}

/// Guards against requests beyond the bound while demands rise and limits change.
#[test]
fn the_bound_holds_without_faults() {
    let summary = run_all(false);
    assert!(summary.over.is_empty(), "over the bound: {summary:?}");
}

/// Guards against refusals of customers below their quotas while nothing fails.
#[test]
fn nobody_below_its_quota_is_refused_without_faults() {
    let summary = run_all(false);
    assert!(summary.refused.is_empty(), "refused: {summary:?}");
}

/// Guards against requests beyond the bound by kills, stops, starts, freezes and partitions.
#[test]
fn the_bound_holds_under_faults() {
    let summary = run_all(true);
    assert!(summary.over.is_empty(), "over the bound: {summary:?}");
}

/// Guards against an owner whose loss stops the customers below their quotas.
#[test]
fn few_below_their_quotas_are_refused_under_faults() {
    let summary = run_all(true);
    let share = summary.below_refused as f64 / summary.below.max(1) as f64;
    assert!(share < MAX_REFUSED_SHARE, "refused with faults: {share}");
}
