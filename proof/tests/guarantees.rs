//! The guarantees of the fleet hold under random faults, under pairs of faults, and with
//! a fault at each step of a command and of a note.

use proof::InjectionPoint;
use proof::PlatformState;
use proof::TargetFault;
use proof::chaos;
use proof::chaos::Fault;
use proof::chaos::Planned;
use proof::matrix;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANDOM_RUNS: u32 = 200;
const FAULTS_PAIRED_WITH_EACH: usize = 3;

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        20 => prop::sample::select(Fault::ALL.to_vec()),
        1 => Just(Fault::Race),
    ]
}

prop_compose! {
    fn planned()(at_ms in 0..20_000u64, lasts_ms in 100..12_000u64, fault in faults(), on in 0..64usize) -> Planned {
        Planned { at_ms, lasts_ms, fault, on }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: RANDOM_RUNS, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn guarantees_hold_under_random_faults(seed in any::<u64>(), plan in vec(planned(), 1..7)) {
        if let Err(reason) = chaos::run(seed, &plan) {
            prop_assert!(false, "{reason}");
        }
    }
}

#[test]
fn guarantees_hold_under_each_pair_of_faults() {
    for (first, fault) in Fault::ALL.into_iter().enumerate() {
        // Each fault is paired with itself and with three others, at intervals of five in the list.
        for step in 0..=FAULTS_PAIRED_WITH_EACH {
            let other = Fault::ALL[(first + step * 5) % Fault::ALL.len()];
            let plan = [planned_at(0, fault, 1), planned_at(1_500, other, 1 + step)];
            if let Err(reason) = chaos::run(first as u64, &plan) {
                panic!("{fault} with {other}: {reason}");
            }
        }
    }
}

fn planned_at(at_ms: u64, fault: Fault, on: usize) -> Planned {
    Planned {
        at_ms,
        lasts_ms: 4_000,
        fault,
        on,
    }
}

#[test]
fn guarantees_hold_at_each_step() {
    for fault in Fault::ALL {
        for point in InjectionPoint::ALL {
            if let Err(reason) = matrix::run(fault, point, 1) {
                panic!("{fault} at {point}: {reason}");
            }
        }
    }
}

#[test]
fn operators_learn_which_note_was_stored_while_answers_are_lost() {
    let plan = [
        planned_at(0, Fault::Platform(PlatformState::LosesAnswers), 0),
        planned_at(500, Fault::Race, 1),
        planned_at(900, Fault::Race, 2),
    ];
    let sim = chaos::run(7, &plan).expect("the guarantees hold under lost answers");
    assert_eq!(sim.latest_note(), 3);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = [planned_at(0, Fault::Target(TargetFault::Failing(0.5)), 3)];
    let run = || {
        chaos::run(11, &plan).map(|sim| (sim.stats.messages, sim.stats.bytes, sim.stats.runs.len()))
    };
    assert_eq!(run(), run());
}

/// Random plans that failed before: an instance that had been paused or had received no
/// messages sent requests to a target that had left in the meantime.
#[test]
fn guarantees_hold_under_plans_that_failed_before() {
    for seed in [1562, 2411, 3024, 3331, 4292, 6518] {
        if let Err(reason) = chaos::run(seed, &chaos::random_plan(seed)) {
            panic!("seed {seed}: {reason}");
        }
    }
}
