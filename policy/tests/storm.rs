//! What befalls many targets at once, told from what befalls one.
//!
//! Plays the outcomes of the two loads that differ most: a service with a request
//! or two a second for each target, and one with fifty.

use std::sync::Arc;

use model::world::Class;
use model::world::Repeat;
use model::world::Service;
use policy::evidence::Finding;
use policy::evidence::ServiceTest;
use policy::evidence::Tally;

const SECOND_US: u64 = 1_000_000;

fn service() -> Service {
    Service {
        name: "rooms".into(),
        class: Class::Live,
        repeat: Repeat::Never,
        time_limit_ms: 2_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-7,
        missed_detection_rate: 0.01,
        retry_share: 0.1,
        queue: 10,
        probe_path: "/health".into(),
    }
}

fn tally(normal: u32, abnormal: u32) -> Tally {
    Tally { normal, abnormal }
}

/// Counts each target's outcomes in order and decides on `target`.
fn find(outcomes: &[(u64, &str, Tally)], now_us: u64, target: &str) -> Finding {
    let mut test = ServiceTest::default();
    let data_centre: Arc<str> = "north".into();
    for (at_us, name, tally) in outcomes {
        test.count(*at_us, &(*name).into(), &data_centre, 0, *tally);
    }
    test.decide(now_us, &service(), target)
}

/// One late answer of the first target, and what the others have answered by then.
fn first_seconds() -> Vec<(u64, &'static str, Tally)> {
    let mut outcomes: Vec<_> = vec![
        (8 * SECOND_US + 200_000, "first", tally(0, 1)),
        (9 * SECOND_US, "b", tally(2, 1)),
        (9 * SECOND_US, "c", tally(0, 1)),
        (9 * SECOND_US, "d", tally(3, 1)),
    ];
    for name in ["e", "f", "g", "h", "i", "j", "k", "l"] {
        outcomes.push((9 * SECOND_US, name, tally(1, 0)));
    }
    outcomes
}

#[test]
fn a_dead_target_of_a_busy_service_stands_out_from_usual_failures() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let mut outcomes: Vec<(u64, &str, Tally)> = Vec::new();
    for name in names {
        outcomes.push((9 * SECOND_US, name, tally(99, 1)));
    }
    outcomes.push((9 * SECOND_US, "dead", tally(0, 1)));
    outcomes.push((10 * SECOND_US, "dead", tally(0, 19)));
    assert_eq!(find(&outcomes, 10 * SECOND_US, "dead"), Finding::Failing);
}

/// Five late answers of one target in the first two seconds of a storm, while three
/// others have had one and eight have answered what came before it.
#[test]
fn the_first_targets_of_a_rare_storm_are_not_failing() {
    let mut outcomes = first_seconds();
    outcomes.push((10 * SECOND_US, "first", tally(0, 4)));
    let found = find(&outcomes, 10 * SECOND_US, "first");
    assert_eq!(found, Finding::Running(1.0));
}

/// The same, with a target that has failed so often that no other can have been late to show it.
#[test]
fn a_target_that_fails_for_long_beside_some_others_is_failing() {
    let mut outcomes = first_seconds();
    outcomes.push((10 * SECOND_US, "first", tally(0, 8)));
    let found = find(&outcomes, 10 * SECOND_US, "first");
    assert_eq!(found, Finding::Failing);
}
