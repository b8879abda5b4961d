//! A fault that affects all targets of a service at once must not eject any of them.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;

const WARM_UP_US: u64 = 20 * SECOND_US;
const STORM_US: u64 = 30 * SECOND_US;
const SEEDS: u64 = 3;

fn ejections(deployment: &Deployment, fault: TargetFault, seed: u64) -> usize {
    let mut sim = Sim::new(deployment.clone(), Mode::Shared, seed);
    sim.run_until(WARM_UP_US);
    sim.reset_stats();
    for target in sim.targets_of(&deployment.loads[0].service) {
        sim.set_fault(&target, fault);
    }
    sim.run_for(STORM_US);
    sim.stats.ejections.len()
}

fn check(fault: TargetFault) {
    let cases = [
        Deployment::rodopi().only("dashboards"),
        Deployment::kinderhut().only("search"),
    ];
    for deployment in cases {
        let deployment = deployment.baseline_error_rate(0.01);
        for seed in 0..SEEDS {
            assert_eq!(ejections(&deployment, fault, seed), 0, "seed {seed}");
        }
    }
}

#[test]
fn a_storm_that_fails_many_ejects_none() {
    check(TargetFault::Failing(0.4));
}

#[test]
fn a_storm_that_slows_all_ejects_none() {
    check(TargetFault::Slow(5.0));
}

#[test]
fn healthy_targets_are_not_ejected() {
    check(TargetFault::Healthy);
}
