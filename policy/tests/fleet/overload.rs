//! How callers are served while the load exceeds what the few healthy targets can serve.

use crate::fleet::SECOND_US;
use crate::fleet::TARGETS;
use crate::overload_simulation::CallerRecord;
use crate::overload_simulation::FaultPeriod;
use crate::overload_simulation::OverloadSimulation;
use crate::overload_simulation::Scenario;
use crate::overload_simulation::SimulationResult;
use crate::scenarios::simulate_scenarios;

const SEEDS: u64 = 8;
/// Start of the measured part of the overload.
const MEASURED_FROM_US: u64 = 23 * SECOND_US;
const END_US: u64 = 33 * SECOND_US;

/// Random scenarios simulated in CI; `CROWD_DAYS` sets another number, `CROWD_FROM` the first
/// seed.
const DEFAULT_SCENARIOS: u64 = 60;
/// Time within which the fleet detects a change.
const DETECTION_US: u64 = SECOND_US;
/// Requests of a group of callers from which the groups are compared; the users' rule for
/// added routes applies from this number on.
const MIN_REQUESTS: u32 = 20;
/// The users' latency objective.
const OBJECTIVE_US: u64 = 2 * SECOND_US;
/// Value of a response later than the objective; one within it counts 1.
const LATE_VALUE: f64 = 0.3;

/// Requests of a group of callers, and how many of them were served.
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

/// Counts the callers that first arrived within some periods: those with short and those with
/// long deadlines.
fn count_callers(
    result: &SimulationResult,
    periods: &[(u64, u64)],
) -> (CallerCounts, CallerCounts) {
    let within = |caller: &&CallerRecord| {
        let mut periods = periods.iter();
        periods.any(|(from_us, until_us)| (*from_us..*until_us).contains(&caller.first_arrival_us))
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
        restarts_us: Vec::new(),
        kills: false,
        normal_rate_per_s: 40.0,
        fault_period_rate_per_s: 47.0,
        short_deadline_share: 0.1,
        short_deadline_us: 900_000,
        short_deadline_retries: true,
        work_us: 630_000.0,
        end_us: END_US,
        named_limits: Vec::new(),
        disturbances: Vec::new(),
        departures: Vec::new(),
        entry_changes: Vec::new(),
        registry_outages: Vec::new(),
    }
}

#[test]
fn short_deadlines_are_not_starved_by_long_ones() {
    for seed in 0..SEEDS {
        let result = OverloadSimulation::new(seed, two_targets_left()).run();
        let (short_deadline, long_deadline) = count_callers(&result, &[(MEASURED_FROM_US, END_US)]);
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
        let (short_deadline, long_deadline) = count_callers(&result, &[(MEASURED_FROM_US, END_US)]);
        let served = f64::from(short_deadline.served + long_deadline.served);
        let measured_s = (END_US - MEASURED_FROM_US) as f64 / 1e6;
        assert!(
            served > 0.8 * capacity_per_s * measured_s,
            "seed {seed}: {short_deadline:?} {long_deadline:?}"
        );
    }
}

/// Rules that a random scenario broke, and the value of its responses.
#[derive(Debug, Default)]
struct Evaluation {
    /// Callers with short deadlines are served less than a quarter as often as the others.
    starves_short_deadlines: bool,
    /// Callers with short deadlines are served less than half as often as the others in a fault
    /// period, and are served less than half of the healthy targets' capacity.
    neglects_short_deadlines: bool,
    /// Less than 0.8 of the healthy targets' capacity is served, or of the requests if these
    /// are fewer.
    wastes_capacity: bool,
    /// Requests sent to healthy targets in fault periods, and how many of them were too late to
    /// succeed.
    sends: u32,
    futile_sends: u32,
    /// Mean value of the responses to callers with long deadlines; 0 for no response.
    value: f64,
    short_deadline: CallerCounts,
    long_deadline: CallerCounts,
}

impl Evaluation {
    fn of(scenario: &Scenario, result: &SimulationResult) -> Self {
        let mut evaluation = Self::default();
        let mut measured_periods = Vec::new();
        for fault_period in scenario
            .fault_periods
            .iter()
            .filter(|fault_period| fault_period.healthy_targets > 0)
        {
            let periods = measured_periods_of(scenario, fault_period);
            let (short_deadline, long_deadline) = count_callers(result, &periods);
            let measured_us: u64 = periods
                .iter()
                .map(|(from_us, until_us)| until_us - from_us)
                .sum();
            let measured_s = measured_us as f64 / 1e6;
            let capacity = scenario.capacity_per_s(fault_period.healthy_targets) * measured_s;
            let has_enough_requests =
                short_deadline.requests >= MIN_REQUESTS && long_deadline.requests >= MIN_REQUESTS;
            evaluation.neglects_short_deadlines |= has_enough_requests
                && short_deadline.share() < long_deadline.share() / 2.0
                && f64::from(short_deadline.served) < capacity / 2.0;
            let served = f64::from(short_deadline.served + long_deadline.served);
            let requests = f64::from(short_deadline.requests + long_deadline.requests);
            evaluation.wastes_capacity |=
                has_enough_requests && served < 0.8 * capacity.min(requests);
            measured_periods.extend(periods);
        }
        (evaluation.short_deadline, evaluation.long_deadline) =
            count_callers(result, &measured_periods);
        evaluation.starves_short_deadlines = evaluation.short_deadline.requests >= MIN_REQUESTS
            && evaluation.short_deadline.share() < evaluation.long_deadline.share() / 4.0;
        for (first_arrival_us, is_futile) in &result.sends {
            let is_measured = |period: &(u64, u64)| (period.0..period.1).contains(first_arrival_us);
            if measured_periods.iter().any(is_measured) {
                evaluation.sends += 1;
                evaluation.futile_sends += u32::from(*is_futile);
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
        evaluation.value = earned_value / max_value;
        evaluation
    }
}

/// Parts of a fault period after the fleet has had time to detect it and, after a restart, to
/// rebuild its state.
fn measured_periods_of(scenario: &Scenario, fault_period: &FaultPeriod) -> Vec<(u64, u64)> {
    let from_us = fault_period.from_us + DETECTION_US;
    let restart_us = scenario.restart_us;
    let restart_us =
        restart_us.filter(|at_us| (fault_period.from_us..fault_period.until_us).contains(at_us));
    let periods = match restart_us {
        Some(at_us) => vec![
            (from_us, at_us),
            (at_us + DETECTION_US, fault_period.until_us),
        ],
        None => vec![(from_us, fault_period.until_us)],
    };
    periods
        .into_iter()
        .filter(|(from, until)| from < until)
        .collect()
}

/// Simulates the random scenarios that `scenario_of` creates.
fn run_random_scenarios(scenario_of: fn(u64) -> Scenario) -> Vec<(u64, Evaluation)> {
    simulate_scenarios("CROWD", DEFAULT_SCENARIOS, |seed| {
        let scenario = scenario_of(seed);
        let result = OverloadSimulation::new(seed, scenario.clone()).run();
        Some(Evaluation::of(&scenario, &result))
    })
}

#[test]
fn no_crowd_at_few_targets_starves_callers_with_little_time_or_wastes_what_they_can_do() {
    check_random_scenarios(Scenario::random);
}

#[test]
fn restarts_of_owners_neither_starve_short_deadlines_nor_waste_the_few_healthy_targets() {
    check_random_scenarios(Scenario::random_with_planned_stops);
}

#[test]
fn kills_of_owners_neither_starve_short_deadlines_nor_waste_the_few_healthy_targets() {
    check_random_scenarios(Scenario::random_with_kills);
}

fn check_random_scenarios(scenario_of: fn(u64) -> Scenario) {
    let evaluations = run_random_scenarios(scenario_of);
    let seeds = |is_broken: fn(&Evaluation) -> bool| -> Vec<u64> {
        let evaluations = evaluations
            .iter()
            .filter(|(_, evaluation)| is_broken(evaluation));
        evaluations.map(|(seed, _)| *seed).collect()
    };
    let mean = |figure: fn(&Evaluation) -> f64| {
        evaluations
            .iter()
            .map(|(_, evaluation)| figure(evaluation))
            .sum::<f64>()
            / evaluations.len() as f64
    };
    let total = |figure: fn(&Evaluation) -> u32| {
        evaluations
            .iter()
            .map(|(_, evaluation)| figure(evaluation))
            .sum::<u32>()
    };
    let (starves_short_deadlines, neglects_short_deadlines) = (
        seeds(|evaluation| evaluation.starves_short_deadlines),
        seeds(|evaluation| evaluation.neglects_short_deadlines),
    );
    let wastes_capacity = seeds(|evaluation| evaluation.wastes_capacity);
    let broken_seeds = seeds(|evaluation| {
        evaluation.starves_short_deadlines
            || evaluation.neglects_short_deadlines
            || evaluation.wastes_capacity
    });
    println!(
        "scenarios {} broken {} starves {} neglects {} wastes {} sends {} futile {} value {:.4} short deadlines {:.4} long deadlines {:.4}",
        evaluations.len(),
        broken_seeds.len(),
        starves_short_deadlines.len(),
        neglects_short_deadlines.len(),
        wastes_capacity.len(),
        total(|evaluation| evaluation.sends),
        total(|evaluation| evaluation.futile_sends),
        mean(|evaluation| evaluation.value),
        mean(|evaluation| evaluation.short_deadline.share()),
        mean(|evaluation| evaluation.long_deadline.share()),
    );
    let first = |seeds: &[u64]| seeds.iter().take(8).copied().collect::<Vec<_>>();
    assert!(
        broken_seeds.is_empty(),
        "{} of {} scenarios; starves {:?} neglects {:?} wastes {:?}",
        broken_seeds.len(),
        evaluations.len(),
        first(&starves_short_deadlines),
        first(&neglects_short_deadlines),
        first(&wastes_capacity),
    );
}
