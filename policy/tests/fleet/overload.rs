//! Service that callers get while few healthy targets are left for the load.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::fleet::SECOND_US;
use crate::fleet::TARGETS;
use crate::overload_simulation::CallerRecord;
use crate::overload_simulation::FaultPeriod;
use crate::overload_simulation::OverloadSimulation;
use crate::overload_simulation::Scenario;
use crate::overload_simulation::SimulationResult;

const SEEDS: u64 = 8;
/// Start of the span in which the overload is judged.
const JUDGED_FROM_US: u64 = 23 * SECOND_US;
const END_US: u64 = 33 * SECOND_US;

/// Random days simulated in CI; `CROWD_DAYS` sets another number, `CROWD_FROM` the first seed.
const DEFAULT_DAYS: u64 = 60;
/// Time within which the fleet detects a change.
const DETECTION_US: u64 = SECOND_US;
/// Requests on added routes from which the users' rule applies.
const MIN_REQUESTS: u32 = 20;
/// The users' latency objective.
const OBJECTIVE_US: u64 = 2 * SECOND_US;
/// Value of an answer later than the objective; one within it counts 1.
const LATE_VALUE: f64 = 0.3;

/// Requests and answers of a group of callers.
#[derive(Clone, Copy, Debug, Default)]
struct CallerCounts {
    requests: u32,
    served: u32,
}

impl CallerCounts {
    fn of<'a>(callers: impl Iterator<Item = &'a CallerRecord>) -> Self {
        let mut counts = Self::default();
        for caller in callers.filter(|caller| !caller.is_lost) {
            counts.requests += 1;
            counts.served += u32::from(caller.served_us.is_some());
        }
        counts
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

/// Counts of the callers with short and with long deadlines that first arrived within some spans.
fn count_callers(result: &SimulationResult, spans: &[(u64, u64)]) -> (CallerCounts, CallerCounts) {
    let within = |caller: &&CallerRecord| {
        let mut spans = spans.iter();
        spans.any(|(from_us, until_us)| (*from_us..*until_us).contains(&caller.first_arrival_us))
    };
    let callers = || result.callers.iter().filter(within);
    let short_deadline = CallerCounts::of(callers().filter(|caller| caller.has_short_deadline));
    let long_deadline = CallerCounts::of(callers().filter(|caller| !caller.has_short_deadline));
    (short_deadline, long_deadline)
}

/// Ten of twelve targets reset all their requests.
fn two_targets_left() -> Scenario {
    Scenario {
        targets: TARGETS,
        fault_periods: vec![FaultPeriod {
            from_us: 20 * SECOND_US,
            until_us: 50 * SECOND_US,
            healthy_targets: 2,
        }],
        reset_share: 1.0,
        restart_us: None,
        normal_rate_per_s: 40.0,
        fault_period_rate_per_s: 47.0,
        short_deadline_share: 0.1,
        short_deadline_us: 900_000,
        short_deadline_retries: true,
        work_us: 630_000.0,
        end_us: END_US,
    }
}

#[test]
fn short_deadlines_are_not_starved_by_long_ones() {
    for seed in 0..SEEDS {
        let result = OverloadSimulation::new(seed, two_targets_left()).run();
        let (short_deadline, long_deadline) = count_callers(&result, &[(JUDGED_FROM_US, END_US)]);
        assert!(
            short_deadline.share() > long_deadline.share() / 4.0,
            "seed {seed}: {short_deadline:?} {long_deadline:?}"
        );
    }
}

#[test]
fn healthy_targets_are_used_to_their_capacity_during_an_overload() {
    let scenario = two_targets_left();
    let capacity_per_s = scenario.capacity_per_s(2);
    for seed in 0..SEEDS {
        let result = OverloadSimulation::new(seed, scenario.clone()).run();
        let (short_deadline, long_deadline) = count_callers(&result, &[(JUDGED_FROM_US, END_US)]);
        let served = f64::from(short_deadline.served + long_deadline.served);
        let span_s = (END_US - JUDGED_FROM_US) as f64 / 1e6;
        assert!(
            served > 0.8 * capacity_per_s * span_s,
            "seed {seed}: {short_deadline:?} {long_deadline:?}"
        );
    }
}

/// Rules that a random day broke, and the value of its answers.
#[derive(Debug, Default)]
struct DayResult {
    /// Callers with short deadlines are served less than a quarter as often as the others.
    starves_short_deadlines: bool,
    /// Callers with short deadlines are served less than half as often as the others in a fault
    /// period, and get less than half of the healthy targets' capacity.
    neglects_short_deadlines: bool,
    /// Less than 0.8 of the healthy targets' capacity, or of the requests, is served.
    wastes_capacity: bool,
    /// Requests sent to healthy targets in fault periods, and those already too late to succeed.
    sends: u32,
    futile_sends: u32,
    value: f64,
    short_deadline: CallerCounts,
    long_deadline: CallerCounts,
}

impl DayResult {
    fn of(scenario: &Scenario, result: &SimulationResult) -> Self {
        let mut day = Self::default();
        let mut judged_spans = Vec::new();
        for fault_period in scenario
            .fault_periods
            .iter()
            .filter(|fault_period| fault_period.healthy_targets > 0)
        {
            let spans = judged_spans_of(scenario, fault_period);
            let (short_deadline, long_deadline) = count_callers(result, &spans);
            let span_us: u64 = spans
                .iter()
                .map(|(from_us, until_us)| until_us - from_us)
                .sum();
            let span_s = span_us as f64 / 1e6;
            let capacity = scenario.capacity_per_s(fault_period.healthy_targets) * span_s;
            let has_enough_requests =
                short_deadline.requests >= MIN_REQUESTS && long_deadline.requests >= MIN_REQUESTS;
            day.neglects_short_deadlines |= has_enough_requests
                && short_deadline.share() < long_deadline.share() / 2.0
                && f64::from(short_deadline.served) < capacity / 2.0;
            let served = f64::from(short_deadline.served + long_deadline.served);
            let requests = f64::from(short_deadline.requests + long_deadline.requests);
            day.wastes_capacity |= has_enough_requests && served < 0.8 * capacity.min(requests);
            judged_spans.extend(spans);
        }
        (day.short_deadline, day.long_deadline) = count_callers(result, &judged_spans);
        day.starves_short_deadlines = day.short_deadline.requests >= MIN_REQUESTS
            && day.short_deadline.share() < day.long_deadline.share() / 4.0;
        for (first_arrival_us, is_futile) in &result.sends {
            let is_judged = |span: &(u64, u64)| (span.0..span.1).contains(first_arrival_us);
            if judged_spans.iter().any(is_judged) {
                day.sends += 1;
                day.futile_sends += u32::from(*is_futile);
            }
        }
        let long_deadline = result
            .callers
            .iter()
            .filter(|caller| !caller.has_short_deadline);
        let (earned_value, max_value) =
            long_deadline.fold((0.0, 0.0), |(earned_value, max_value), caller| {
                let value = caller.served_us.map_or(0.0, |served_us| {
                    match served_us - caller.first_arrival_us <= OBJECTIVE_US {
                        true => 1.0,
                        false => LATE_VALUE,
                    }
                });
                (earned_value + value, max_value + 1.0)
            });
        day.value = earned_value / max_value;
        day
    }
}

/// Parts of a fault period after the fleet has had time to detect it and, after a restart, to
/// rebuild its state.
fn judged_spans_of(scenario: &Scenario, fault_period: &FaultPeriod) -> Vec<(u64, u64)> {
    let from_us = fault_period.from_us + DETECTION_US;
    let split = scenario.restart_us;
    let split = split.filter(|at_us| (fault_period.from_us..fault_period.until_us).contains(at_us));
    let spans = match split {
        Some(at_us) => vec![
            (from_us, at_us),
            (at_us + DETECTION_US, fault_period.until_us),
        ],
        None => vec![(from_us, fault_period.until_us)],
    };
    spans
        .into_iter()
        .filter(|(from, until)| from < until)
        .collect()
}

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Simulates random days on four threads.
fn run_random_days() -> Vec<(u64, DayResult)> {
    let (first, count) = (
        env_number("CROWD_FROM", 0),
        env_number("CROWD_DAYS", DEFAULT_DAYS),
    );
    let next = AtomicU64::new(first);
    let simulate_days = || {
        let mut results = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                return results;
            }
            let scenario = Scenario::random(seed);
            let result = OverloadSimulation::new(seed, scenario.clone()).run();
            results.push((seed, DayResult::of(&scenario, &result)));
        }
    };
    let mut results: Vec<(u64, DayResult)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(simulate_days)).collect();
        let ended = threads.into_iter().map(|thread| thread.join());
        ended
            .flat_map(|results| results.expect("a simulation thread panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results
}

#[test]
fn no_crowd_at_few_targets_starves_callers_with_little_time_or_wastes_what_they_can_do() {
    let days = run_random_days();
    let seeds = |is_broken: fn(&DayResult) -> bool| -> Vec<u64> {
        let days = days.iter().filter(|(_, day)| is_broken(day));
        days.map(|(seed, _)| *seed).collect()
    };
    let mean = |figure: fn(&DayResult) -> f64| {
        days.iter().map(|(_, day)| figure(day)).sum::<f64>() / days.len() as f64
    };
    let total =
        |figure: fn(&DayResult) -> u32| days.iter().map(|(_, day)| figure(day)).sum::<u32>();
    let (starves_short_deadlines, neglects_short_deadlines) = (
        seeds(|day| day.starves_short_deadlines),
        seeds(|day| day.neglects_short_deadlines),
    );
    let wastes_capacity = seeds(|day| day.wastes_capacity);
    let broken_seeds = seeds(|day| {
        day.starves_short_deadlines || day.neglects_short_deadlines || day.wastes_capacity
    });
    println!(
        "days {} broken {} starves {} neglects {} wastes {} sends {} in vain {} worth {:.4} hurried {:.4} patient {:.4}",
        days.len(),
        broken_seeds.len(),
        starves_short_deadlines.len(),
        neglects_short_deadlines.len(),
        wastes_capacity.len(),
        total(|day| day.sends),
        total(|day| day.futile_sends),
        mean(|day| day.value),
        mean(|day| day.short_deadline.share()),
        mean(|day| day.long_deadline.share()),
    );
    let first = |seeds: &[u64]| seeds.iter().take(8).copied().collect::<Vec<_>>();
    assert!(
        broken_seeds.is_empty(),
        "{} of {} days; starves {:?} neglects {:?} wastes {:?}",
        broken_seeds.len(),
        days.len(),
        first(&starves_short_deadlines),
        first(&neglects_short_deadlines),
        first(&wastes_capacity),
    );
}
