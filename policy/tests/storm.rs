//! Tests that a storm, a fault of many targets at once, is distinguished from the fault of a
//! single target.
//!
//! Covers the two extremes of load: a service with one or two requests per second and target,
//! and one with fifty.

use std::sync::Arc;

use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;
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

/// Counts each target's outcomes in order and returns the finding for `target`.
fn finding_for(outcomes: &[(u64, &str, Tally)], now_us: u64, target: &str) -> Finding {
    let mut test = ServiceTest::default();
    let data_centre: Arc<str> = "north".into();
    for (at_us, name, tally) in outcomes {
        test.count(*at_us, &(*name).into(), &data_centre, 0, *tally);
    }
    test.decide(now_us, &service(), target)
}

/// One late response of the first target, and the responses of the other targets within the next
/// second.
fn outcomes_at_storm_start() -> Vec<(u64, &'static str, Tally)> {
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
fn dead_target_of_a_busy_service_is_failing_despite_baseline_errors() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let mut outcomes: Vec<(u64, &str, Tally)> = Vec::new();
    for name in names {
        outcomes.push((9 * SECOND_US, name, tally(99, 1)));
    }
    outcomes.push((9 * SECOND_US, "dead", tally(0, 1)));
    outcomes.push((10 * SECOND_US, "dead", tally(0, 19)));
    assert_eq!(
        finding_for(&outcomes, 10 * SECOND_US, "dead"),
        Finding::Failing
    );
}

/// Guards against an ejection at the start of a storm under low load: one target has
/// five late responses in the first two seconds, three others have one each, and eight
/// have only responses from before the storm.
#[test]
fn first_affected_target_of_a_storm_under_low_load_is_not_failing() {
    let mut outcomes = outcomes_at_storm_start();
    outcomes.push((10 * SECOND_US, "first", tally(0, 4)));
    let finding = finding_for(&outcomes, 10 * SECOND_US, "first");
    assert_eq!(finding, Finding::Undecided(1.0));
}

/// The same outcomes, but the target has failed so often that a common fault would be evident
/// from the others by now.
#[test]
fn target_with_many_failures_is_failing_despite_some_other_failures() {
    let mut outcomes = outcomes_at_storm_start();
    outcomes.push((10 * SECOND_US, "first", tally(0, 8)));
    let finding = finding_for(&outcomes, 10 * SECOND_US, "first");
    assert_eq!(finding, Finding::Failing);
}
