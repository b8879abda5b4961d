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
use crate::overload_simulation::StatedDeparture;
use crate::scenarios::simulate_scenarios;

/// Random scenarios simulated in CI; `DEPARTURE_DAYS` sets another number, `DEPARTURE_FROM` the
/// first seed.
const DEFAULT_SCENARIOS: u64 = 60;
/// The users' `drain`: time for which an instance may still send requests to a target that has
/// told it that it leaves.
const DRAIN_US: u64 = 2 * SECOND_US;

/// Requests that callers sent later than the bound allows.
fn late_arrivals(seed: u64, scenario: Scenario) -> Vec<LeavingArrival> {
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

/// Simulates random scenarios, and fails if any has late requests.
fn assert_no_late_requests(prefix: &str, scenario: fn(u64) -> Scenario) {
    let broken = simulate_scenarios(prefix, DEFAULT_SCENARIOS, |seed| {
        Some(late_arrivals(seed, scenario(seed))).filter(|late| !late.is_empty())
    });
    let late: usize = broken.iter().map(|(_, late)| late.len()).sum();
    println!(
        "scenarios with late requests: {}, {late} requests",
        broken.len()
    );
    let first: Vec<String> = broken.iter().take(8).map(describe).collect();
    assert!(broken.is_empty(), "{}", first.join("; "));
}

#[test]
fn targets_that_say_they_leave_get_no_late_requests() {
    assert_no_late_requests("DEPARTURE", Scenario::random_with_departures);
}

/// Guards against a process that says that it leaves before the registry has its entry, so that its
/// word is taken for that of the process before it.
#[test]
fn targets_whose_entries_come_late_get_no_late_requests() {
    assert_no_late_requests("LATE_ENTRY", Scenario::random_with_late_entries);
}

/// The target 3 leaves by its own word from the third second on, and the next process under its name
/// starts in the seventh.
const RESTARTED: StatedDeparture = StatedDeparture {
    target: 3,
    from_us: 3 * SECOND_US,
    ends_us: 6 * SECOND_US,
    next_us: 7 * SECOND_US,
    next_incarnation: 77,
};

/// The same, and the process behind the name says that it leaves until the end of a test.
const LASTING: StatedDeparture = StatedDeparture {
    ends_us: 60 * SECOND_US,
    next_us: 61 * SECOND_US,
    ..RESTARTED
};

/// Whether an instance's counters of the target 3 mark it as leaving, and are closed.
fn leaving_and_closed(fleet: &Fleet, number: usize) -> Option<(bool, bool)> {
    let table = fleet.table(number);
    let mut candidates = table.services["gates"].candidates.iter();
    let target = candidates.find(|candidate| &*candidate.target.name == "t003")?;
    Some((
        target.load.is_leaving(),
        target.load.is_closed(fleet.now_us()),
    ))
}

/// Guards against the same with a single target: the next process has left when its entry comes.
#[test]
fn a_process_that_leaves_before_its_entry_comes_stays_closed() {
    let mut fleet = Fleet::new(8);
    fleet.set_departures(&[LASTING]);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.run(8 * SECOND_US);
    fleet.put_entry(3, 77, 6, false);
    for second in 9..20 {
        fleet.run(second * SECOND_US);
        assert_eq!(leaving_and_closed(&fleet, 0), Some((true, true)));
    }
    // What it says in a response to a check is known to the others too.
    let aware = instances_that_avoid(&fleet);
    assert!(aware >= INSTANCES - 2, "{aware}");
}

/// Guards against a target that stays out of use for the word of an earlier process, also if more than
/// one has left before.
#[test]
fn the_process_after_one_that_leaves_is_used_after_a_check() {
    let mut fleet = Fleet::new(9);
    let second = StatedDeparture {
        from_us: 12 * SECOND_US,
        ends_us: 14 * SECOND_US,
        next_us: 15 * SECOND_US,
        next_incarnation: 78,
        ..RESTARTED
    };
    fleet.set_departures(&[RESTARTED, second]);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.run(8 * SECOND_US);
    fleet.put_entry(3, 77, 6, false);
    fleet.run(9 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((false, false)));
    fleet.run(13 * SECOND_US);
    let noticed = NoticedTarget {
        process: process(77),
        ..departure()
    };
    fleet.notice(0, noticed);
    fleet.run(16 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((true, true)));
    fleet.put_entry(3, 78, 6, false);
    fleet.run(17 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((false, false)));
    // One for each of the two processes, at the instance that was told.
    assert_eq!(fleet.checks(), 2);
}

/// Guards against a target that is used without an answer to its check, and against one that is not
/// checked again.
#[test]
fn a_check_without_an_answer_is_repeated() {
    let mut fleet = Fleet::new(10);
    let slow_start = StatedDeparture {
        next_us: 12 * SECOND_US,
        ..RESTARTED
    };
    fleet.set_departures(&[slow_start]);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.run(7 * SECOND_US);
    fleet.put_entry(3, 77, 6, false);
    fleet.run(12 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((true, true)));
    fleet.run(15 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((false, false)));
    assert!(fleet.checks() <= 4, "{}", fleet.checks());
}

/// Guards against a target that gets requests for longer since its process is known by a check: the time
/// counts from the first response with the sign, also once the entry has changed.
#[test]
fn the_time_of_last_requests_counts_from_the_first_statement() {
    let mut fleet = Fleet::new(12);
    fleet.set_departures(&[LASTING]);
    fleet.run(3 * SECOND_US);
    fleet.notice(0, departure());
    fleet.put_entry(3, 77, 6, false);
    fleet.run(4 * SECOND_US);
    fleet.put_entry(3, 77, 5, false);
    fleet.run(5 * SECOND_US);
    assert_eq!(fleet.checks(), 1);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((true, true)));
}

/// Guards against a response that arrives after the next entry, under the name of the former process.
#[test]
fn a_statement_for_a_former_process_closes_the_present_one_until_it_is_checked() {
    let mut fleet = Fleet::new(11);
    fleet.set_departures(&[LASTING]);
    fleet.run(3 * SECOND_US);
    fleet.put_entry(3, 77, 6, false);
    fleet.run(5 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((false, false)));
    fleet.notice(0, departure());
    fleet.run(8 * SECOND_US);
    assert_eq!(leaving_and_closed(&fleet, 0), Some((true, true)));
}
