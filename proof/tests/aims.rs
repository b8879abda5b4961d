//! The users' aims for the test of targets. Those that are missed stand in
//! KNOWN-RED.txt.

use policy::evidence::HealthEvent;
use policy::evidence::HealthState;
use policy::evidence::SequentialTest;
use proof::Deployment;
use proof::HomeRun;
use proof::MILLI_US;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;
use proof::quantile_of;
use rand::RngExt;

const GAP_US: u64 = 100 * MILLI_US;
const RUNS: u64 = 400;
const WARM_UP: u64 = 3_000;
const LIMIT: u64 = 20_000;
const BACKGROUND: f64 = 0.01;
/// The aim: outcomes at p99 over those of the ideal test.
const AIM: f64 = 1.5;
const STORM_SEEDS: u64 = 16;

/// Outcomes of a wholly failing target until its home ejects it.
fn outcomes_until_ejected(deployment: &Deployment, seed: u64) -> u64 {
    let mut run = HomeRun::new(deployment, seed);
    let mut met = 0;
    for number in 0..LIMIT {
        let target = run.any_target();
        let failing = target == 0 && number > WARM_UP;
        met += u64::from(failing);
        let abnormal = failing || run.rng.random_bool(BACKGROUND);
        let events = run.meet(number * GAP_US, target, abnormal);
        let ejected = events.iter().any(|event| {
            matches!(event, HealthEvent::Announce(decision) if decision.health == HealthState::Ejected)
        });
        if failing && ejected {
            break;
        }
    }
    met
}

/// Wald's test that knows both rates sees failures only, so that it always
/// takes the same number.
fn ideal_outcomes(deployment: &Deployment) -> f64 {
    let bound = SequentialTest::upper_bound(&deployment.note.services.add[0]);
    (bound / (1.0 / BACKGROUND).ln()).ceil()
}

#[test]
fn a_wholly_failing_booking_target_is_found_in_time() {
    let deployment = Deployment::kinderhut().only("booking");
    let mut counts: Vec<u64> = (0..RUNS)
        .map(|seed| outcomes_until_ejected(&deployment, seed))
        .collect();
    counts.sort_unstable();
    let p99 = quantile_of(&counts, 0.99) as f64;
    let ideal = ideal_outcomes(&deployment);
    assert!(p99 <= AIM * ideal, "{p99} outcomes, ideal {ideal}");
}

/// Ejections while all targets of a service are five times slower.
fn storm_ejections(deployment: &Deployment, seed: u64) -> usize {
    let mut sim = Sim::new(deployment.clone(), Mode::Shared, seed);
    sim.run_until(20 * SECOND_US);
    sim.reset_stats();
    for target in sim.targets_of(&deployment.loads[0].service) {
        sim.set_fault(&target, TargetFault::Slow(5.0));
    }
    sim.run_for(30 * SECOND_US);
    sim.stats.ejections.len()
}

fn check_storms(deployment: Deployment) {
    let deployment = deployment.background(BACKGROUND);
    let ejected: Vec<u64> = (0..STORM_SEEDS)
        .filter(|seed| storm_ejections(&deployment, *seed) > 0)
        .collect();
    assert!(ejected.is_empty(), "seeds with ejections: {ejected:?}");
}

#[test]
fn a_slow_storm_ejects_no_booking_target() {
    check_storms(Deployment::kinderhut().only("booking"));
}

#[test]
fn a_slow_storm_ejects_no_dashboards_target() {
    check_storms(Deployment::rodopi().only("dashboards"));
}
