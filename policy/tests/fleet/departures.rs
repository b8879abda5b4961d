//! Requests that reach targets which have said in their responses that they leave.

use policy::exchange::AttemptEnd;
use policy::exchange::Notice;
use policy::exchange::NoticedTarget;
use policy::exchange::Observation;
use policy::exchange::TargetNotices;
use policy::routing::TargetProcess;

use crate::fleet::Fleet;
use crate::fleet::INSTANCES;
use crate::fleet::SECOND_US;
use crate::overload_simulation::LeavingArrival;
use crate::overload_simulation::OverloadSimulation;
use crate::overload_simulation::Scenario;
use crate::scenarios::simulate_scenarios;

/// Random scenarios simulated in CI; `DEPARTURE_DAYS` sets another number, `DEPARTURE_FROM` the
/// first seed.
const DEFAULT_SCENARIOS: u64 = 60;
/// The users' `drain`: time for which an instance may still send requests to a target that has
/// told it that it leaves.
const DRAIN_US: u64 = 2 * SECOND_US;

/// Requests that callers sent later than the bound allows.
fn late_arrivals(seed: u64) -> Vec<LeavingArrival> {
    let scenario = Scenario::random_with_departures(seed);
    let result = OverloadSimulation::new(seed, scenario).run();
    let arrivals = result.leaving_arrivals.into_iter();
    arrivals
        .filter(|arrival| !arrival.is_excused && arrival.sent_us > arrival.told_us + DRAIN_US)
        .collect()
}

fn describe((seed, late): &(u64, Vec<LeavingArrival>)) -> String {
    let first = late[0];
    format!(
        "seed {seed}: {} late, the first at {} us from instance {} at target {}, {} us after it was told",
        late.len(),
        first.at_us,
        first.node,
        first.target,
        first.at_us - first.told_us
    )
}

fn process(incarnation: u64) -> TargetProcess {
    TargetProcess {
        target: "t003".into(),
        incarnation,
    }
}

/// A response of the target 3 that says that it leaves.
fn departure() -> NoticedTarget {
    NoticedTarget {
        process: process(3),
        sent_us: 0,
        notices: TargetNotices {
            is_leaving: Notice::Stated(true),
            ..TargetNotices::default()
        },
    }
}

/// Instances whose present tables have counters of the target 3 that mark it as leaving.
fn instances_that_avoid(fleet: &Fleet) -> usize {
    let avoids = |number: &usize| {
        let table = fleet.table(*number);
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.is_some_and(|target| target.load.is_leaving())
    };
    (0..INSTANCES).filter(avoids).count()
}

#[test]
fn all_instances_learn_of_a_departure_and_one_that_starts_later_too() {
    let mut fleet = Fleet::new(5);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.run(4 * SECOND_US);
    // Single messages are lost.
    let aware = instances_that_avoid(&fleet);
    assert!(aware >= INSTANCES - 2, "{aware}");
    fleet.stop(7);
    fleet.start_again(7);
    fleet.run(8 * SECOND_US);
    let table = fleet.table(7);
    let mut candidates = table.services["gates"].candidates.iter();
    let target = candidates.find(|candidate| &*candidate.target.name == "t003");
    assert!(target.is_some_and(|target| target.load.is_leaving()));
}

#[test]
fn a_departure_outlives_a_lapse_and_a_change_of_the_entry_but_not_the_process() {
    let mut fleet = Fleet::new(6);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.remove_entry(3);
    fleet.run(8 * SECOND_US);
    fleet.put_entry(3, 3, 6, false);
    fleet.run(10 * SECOND_US);
    let is_closed = |fleet: &Fleet| {
        let table = fleet.table(0);
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.map(|target| target.load.is_closed(fleet.now_us()))
    };
    assert_eq!(is_closed(&fleet), Some(true));
    fleet.put_entry(3, 3, 5, false);
    fleet.run(12 * SECOND_US);
    assert_eq!(is_closed(&fleet), Some(true));
    fleet.put_entry(3, 77, 6, false);
    fleet.run(14 * SECOND_US);
    assert_eq!(is_closed(&fleet), Some(false));
    // A stale copy of the former entry.
    fleet.put_entry(3, 3, 6, false);
    fleet.run(16 * SECOND_US);
    assert_eq!(is_closed(&fleet), Some(true));
}

#[test]
fn failures_of_a_target_that_leaves_are_no_evidence_for_other_instances() {
    let mut fleet = Fleet::new(7);
    fleet.run(3 * SECOND_US);
    let cut = || Observation {
        service: "gates".into(),
        target: "t003".into(),
        end: AttemptEnd::Cut,
        overdue_reports: 0,
        has_full_time: true,
    };
    let probability = |fleet: &Fleet, number: usize| {
        let table = fleet.table(number);
        let mut candidates = table.services["gates"].candidates.iter();
        let target = candidates.find(|candidate| &*candidate.target.name == "t003");
        target.map_or(0.0, |target| {
            target.load.failure_probability(fleet.now_us())
        })
    };
    fleet.notice(0, departure());
    fleet.observe(0, cut());
    fleet.run(4 * SECOND_US);
    assert!(probability(&fleet, 0) > 0.5);
    for number in 1..INSTANCES {
        assert!(probability(&fleet, number) < 0.1, "instance {number}");
    }
}

#[test]
fn targets_that_say_they_leave_get_no_late_requests() {
    let broken = simulate_scenarios("DEPARTURE", DEFAULT_SCENARIOS, |seed| {
        Some(late_arrivals(seed)).filter(|late| !late.is_empty())
    });
    let late: usize = broken.iter().map(|(_, late)| late.len()).sum();
    println!(
        "scenarios with late requests: {}, {late} requests",
        broken.len()
    );
    let first: Vec<String> = broken.iter().take(8).map(describe).collect();
    assert!(broken.is_empty(), "{}", first.join("; "));
}
