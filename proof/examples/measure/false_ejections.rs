//! False ejections in ten million outcomes of healthy targets, at baseline error rates
//! of 1% and 2%.

use policy::evidence::HealthEvent;
use policy::evidence::HealthState;
use proof::Deployment;
use proof::MILLI_US;
use proof::MonitorRun;
use rand::RngExt;

use super::table::Table;
use super::table::map_seeds;

const OUTCOMES: u64 = 10_000_000;
const RUNS: u64 = 8;
const OUTCOME_INTERVAL_US: u64 = 100 * MILLI_US;
const US_PER_DAY: f64 = 86_400e6;

pub(super) fn measure() -> String {
    let mut table = Table::new(
        "False ejections in 10,000,000 outcomes of healthy targets, 10 outcomes a second",
        &[
            "service",
            "failing in the background",
            "ejections",
            "a target-day",
        ],
    );
    let cases = [
        (Deployment::rodopi(), "gates"),
        (Deployment::kinderhut(), "booking"),
    ];
    for (deployment, name) in cases {
        let deployment = deployment.only(name);
        for baseline_error_rate in [0.01, 0.02] {
            let ejections: u64 =
                map_seeds(RUNS, |seed| run(&deployment, baseline_error_rate, seed))
                    .iter()
                    .sum();
            let days = OUTCOMES as f64 * OUTCOME_INTERVAL_US as f64 / US_PER_DAY;
            let target_days = days * deployment.note.targets.add.len() as f64;
            table.add_row(&[
                name.to_owned(),
                format!("{:.0}%", baseline_error_rate * 100.0),
                ejections.to_string(),
                format!("{:.2e}", ejections as f64 / target_days),
            ]);
        }
    }
    table.into_markdown()
}

/// Counts the ejections in one run of `OUTCOMES / RUNS` outcomes.
fn run(deployment: &Deployment, baseline_error_rate: f64, seed: u64) -> u64 {
    let mut run = MonitorRun::new(deployment, seed);
    let mut ejections = 0;
    for number in 0..OUTCOMES / RUNS {
        let now_us = number * OUTCOME_INTERVAL_US;
        let target = run.random_target();
        let abnormal = run.rng.random_bool(baseline_error_rate);
        let mut events = run.report_outcome(now_us, target, abnormal);
        if number % 10 == 0 {
            events.extend(run.tick(now_us));
        }
        for event in events {
            match event {
                HealthEvent::Announce(decision) => {
                    ejections += u64::from(decision.health == HealthState::Ejected)
                }
                HealthEvent::Probe { service, target } => {
                    run.apply_probe_result(now_us, &service, &target)
                }
            }
        }
    }
    ejections
}
