//! Requests that reach targets which name a limit for all instances together.

use policy::exchange::Notice;
use policy::exchange::NoticedTarget;
use policy::exchange::TargetNotices;
use policy::routing::TargetProcess;

use crate::fleet::Fleet;
use crate::fleet::SECOND_US;
use crate::overload_simulation::LimitedArrival;
use crate::overload_simulation::NamedLimit;
use crate::overload_simulation::OverloadSimulation;
use crate::overload_simulation::Scenario;
use crate::overload_simulation::SimulationResult;
use crate::scenarios::simulate_scenarios;

/// Random scenarios simulated in CI; `LIMIT_DAYS` sets another number, `LIMIT_FROM` the first
/// seed.
const DEFAULT_SCENARIOS: u64 = 60;
/// The users' bound: in each window a target gets at most this share of its limit, and some more.
const WINDOW_US: u64 = 4 * SECOND_US;
const LIMIT_SHARE: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Time after which a limit binds: the users' `stableWindow`, and for an instance half a second
/// after it was told.
const STABLE_WINDOW_US: u64 = 3 * SECOND_US;
const TOLD_US: u64 = SECOND_US / 2;

/// The most requests over the bound in any window in which a target named one limit.
fn excess(result: &SimulationResult, limit: &NamedLimit) -> f64 {
    let from_us = limit.from_us + STABLE_WINDOW_US;
    let is_counted = |arrival: &&LimitedArrival| {
        arrival.target == limit.target
            && (from_us..limit.until_us).contains(&arrival.at_us)
            && !arrival.is_excused
            && arrival
                .told_us
                .is_some_and(|told_us| told_us + TOLD_US <= arrival.at_us)
    };
    let arrivals: Vec<u64> = result
        .arrivals
        .iter()
        .filter(is_counted)
        .map(|arrival| arrival.at_us)
        .collect();
    let window_s = WINDOW_US as f64 / 1e6;
    let allowed = LIMIT_SHARE * f64::from(limit.limit_milli) / 1e3 * window_s + EXTRA_REQUESTS;
    let counts = arrivals.iter().enumerate().map(|(index, from_us)| {
        let until_us = from_us + WINDOW_US;
        arrivals[index..].partition_point(|at_us| *at_us < until_us)
    });
    counts.max().unwrap_or(0) as f64 - allowed
}

/// Simulates random scenarios; returns those that exceed the bound.
fn run_random_scenarios() -> Vec<(u64, f64)> {
    simulate_scenarios("LIMIT", DEFAULT_SCENARIOS, |seed| {
        let scenario = Scenario::random_with_limits(seed);
        let result = OverloadSimulation::new(seed, scenario.clone()).run();
        let limits = scenario.named_limits.iter();
        let excess = limits
            .map(|limit| excess(&result, limit))
            .fold(0.0, f64::max);
        (excess > 0.0).then_some(excess)
    })
}

#[test]
fn targets_that_name_a_limit_get_no_more_from_the_whole_fleet() {
    let broken = run_random_scenarios();
    let worst = broken.iter().map(|(_, excess)| *excess).fold(0.0, f64::max);
    println!(
        "scenarios over a named limit: {}, by {worst} requests at most",
        broken.len()
    );
    let first: Vec<_> = broken.iter().take(8).collect();
    assert!(broken.is_empty(), "{} scenarios; {first:?}", broken.len());
}

#[test]
fn a_rate_limit_outlives_a_lapse_of_the_entry_but_not_the_process() {
    let mut fleet = Fleet::new(8);
    fleet.run(3 * SECOND_US);
    let limited = NoticedTarget {
        process: TargetProcess {
            target: "t003".into(),
            incarnation: 3,
        },
        sent_us: 0,
        notices: TargetNotices {
            rate_limit_milli: Notice::Stated(2_000),
            ..TargetNotices::default()
        },
    };
    fleet.notice(0, limited);
    fleet.remove_entry(3);
    fleet.run(8 * SECOND_US);
    fleet.put_entry(3, 3, 6, false);
    fleet.run(10 * SECOND_US);
    let limit_milli = |fleet: &Fleet| {
        let table = fleet.table(0);
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.and_then(|target| target.load.rate_limit_milli())
    };
    assert_eq!(limit_milli(&fleet), Some(2_000));
    fleet.put_entry(3, 3, 5, false);
    fleet.run(11 * SECOND_US);
    assert_eq!(limit_milli(&fleet), Some(2_000));
    fleet.put_entry(3, 77, 6, false);
    fleet.run(12 * SECOND_US);
    assert_eq!(limit_milli(&fleet), None);
}
