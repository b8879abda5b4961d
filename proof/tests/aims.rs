//! The users' goals for detection and false ejections. Goals that are not yet
//! met are listed in `KNOWN-RED.txt`.

use policy::evidence::HealthEvent;
use policy::evidence::HealthState;
use policy::evidence::SequentialTest;
use proof::Deployment;
use proof::MILLI_US;
use proof::Mode;
use proof::MonitorRun;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;
use proof::quantile_of;
use rand::RngExt;

const OUTCOME_INTERVAL_US: u64 = 100 * MILLI_US;
const RUNS: u64 = 400;
const WARM_UP_OUTCOMES: u64 = 3_000;
const MAX_OUTCOMES: u64 = 20_000;
const BASELINE_ERROR_RATE: f64 = 0.01;
/// Goal: p99 of the outcomes until ejection, relative to the ideal test.
const MAX_RATIO_TO_IDEAL: f64 = 1.5;
const STORM_SEEDS: u64 = 16;

/// Returns how many outcomes of a target that fails all requests its owner receives until it
/// ejects the target.
fn outcomes_until_ejected(deployment: &Deployment, seed: u64) -> u64 {
    let mut run = MonitorRun::new(deployment, seed);
    let mut failing_outcomes = 0;
    for number in 0..MAX_OUTCOMES {
        let target = run.random_target();
        let failing = target == 0 && number > WARM_UP_OUTCOMES;
        failing_outcomes += u64::from(failing);
        let abnormal = failing || run.rng.random_bool(BASELINE_ERROR_RATE);
        let events = run.report_outcome(number * OUTCOME_INTERVAL_US, target, abnormal);
        let ejected = events.iter().any(|event| {
            matches!(event, HealthEvent::Announce(decision) if decision.health == HealthState::Ejected)
        });
        if failing && ejected {
            break;
        }
    }
    failing_outcomes
}

/// Returns the number of outcomes that Wald's sequential test takes if it is given both
/// error rates. The target fails every request, so the number is always the same.
fn ideal_outcomes(deployment: &Deployment) -> f64 {
    let bound = SequentialTest::upper_bound(&deployment.note.services.add[0]);
    (bound / (1.0 / BASELINE_ERROR_RATE).ln()).ceil()
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
    assert!(
        p99 <= MAX_RATIO_TO_IDEAL * ideal,
        "{p99} outcomes, ideal {ideal}"
    );
}

/// Returns the number of ejections while all targets of a service are five times slower.
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
    let deployment = deployment.baseline_error_rate(BASELINE_ERROR_RATE);
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
