//! Tests that the floor holds and that leaving targets get no requests, whatever the health
//! decisions are.

use std::sync::Arc;

use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;
use model::configuration::Target;
use policy::evidence::HealthState;
use policy::routing::enforce_floor;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn service(floor_share: f64) -> Service {
    Service {
        name: "search".into(),
        class: Class::Live,
        repeat: Repeat::Idempotent,
        time_limit_ms: 5_000,
        floor_share,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-3,
        retry_share: 0.1,
        queue: 10,
        probe_path: "/health".into(),
    }
}

fn target(number: usize, slots: u32, leaving: bool) -> Arc<Target> {
    Arc::new(Target {
        name: format!("search-{number}").into(),
        service: "search".into(),
        data_centre: "baden".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots,
        connections: 10,
        refusal_is_not_run: false,
        leaving,
        incarnation: 0,
    })
}

fn health() -> impl Strategy<Value = HealthState> {
    prop::sample::select(vec![
        HealthState::Healthy,
        HealthState::Ramping,
        HealthState::Suspect,
        HealthState::Trial,
        HealthState::Ejected,
    ])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    #[test]
    fn floor_holds_and_leaving_targets_are_not_used(
        floor_share in 0.0..=1.0f64,
        rows in vec((1..20u32, any::<bool>(), health(), 0.0..1.0f64), 0..20),
    ) {
        let service = service(floor_share);
        let targets: Vec<_> = rows
            .iter()
            .enumerate()
            .map(|(number, (slots, leaving, health, local_evidence))| (target(number, *slots, *leaving), *health, *local_evidence))
            .collect();
        let available: u32 = targets.iter().filter(|(target, _, _)| !target.leaving).map(|(target, _, _)| target.slots).sum();
        let set = enforce_floor(&service, targets);
        prop_assert!(f64::from(set.slots()) >= f64::from(available) * floor_share);
        prop_assert!(set.members.iter().all(|(target, _)| !target.leaving));
    }
}

#[test]
fn ejected_targets_with_the_least_evidence_fill_the_floor() {
    let ejected_target = |number, local_evidence| {
        (
            target(number, 6, false),
            HealthState::Ejected,
            local_evidence,
        )
    };
    let set = enforce_floor(
        &service(0.5),
        vec![
            ejected_target(0, 0.9),
            ejected_target(1, 0.1),
            ejected_target(2, 0.5),
            ejected_target(3, 0.2),
        ],
    );
    let names: Vec<&str> = set
        .members
        .iter()
        .map(|(target, _)| &*target.name)
        .collect();
    assert_eq!(names, ["search-1", "search-3"]);
}

#[test]
fn target_on_trial_does_not_count_twice_for_the_floor() {
    let healthy = (target(0, 6, false), HealthState::Healthy, 0.0);
    let trial = (target(1, 6, false), HealthState::Trial, 0.0);
    let ejected = (target(2, 6, false), HealthState::Ejected, 0.0);
    let set = enforce_floor(&service(0.3), vec![healthy, trial, ejected]);
    assert_eq!(set.members.len(), 2);
}
