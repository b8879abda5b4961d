//! Number of outcomes until a failing target is ejected, compared with the ideal
//! sequential probability ratio test.
//!
//! The reference is Wald's test for the same error rates, given the true baseline and
//! failure rates and started at the onset of the fault.

use model::configuration::Service;
use policy::evidence::HealthEvent;
use policy::evidence::HealthState;
use policy::evidence::Rates;
use policy::evidence::SequentialTest;
use policy::evidence::Tally;
use proof::Deployment;
use proof::MILLI_US;
use proof::MonitorRun;
use proof::quantile_of;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::table::Table;
use super::table::map_seeds;

const RUNS: u64 = 2_000;
const BASELINE_ERROR_RATE: f64 = 0.01;
const OUTCOME_INTERVAL_US: u64 = 100 * MILLI_US;
const WARM_UP_OUTCOMES: usize = 3_000;
const MAX_OUTCOMES: usize = 20_000;

pub(super) fn measure() -> String {
    let mut table = Table::new(
        "Outcomes of a failing target until it is ejected, against Wald's test for the same error rates",
        &[
            "service",
            "failing",
            "mean",
            "p99",
            "ideal mean",
            "ideal p99",
            "p99 over ideal p99",
        ],
    );
    let cases = [
        (Deployment::rodopi(), "gates"),
        (Deployment::kinderhut(), "booking"),
    ];
    for (deployment, name) in cases {
        let deployment = deployment.only(name);
        for share in [1.0, 0.5, 0.3] {
            let measured = map_seeds(RUNS, |seed| outcomes_to_ejection(&deployment, share, seed));
            let ideal = map_seeds(RUNS, |seed| {
                ideal_outcomes(&deployment.note.services.add[0], share, seed)
            });
            let (mean, p99) = mean_and_p99(measured);
            let (ideal_mean, ideal_p99) = mean_and_p99(ideal);
            table.add_row(&[
                name.to_owned(),
                format!("{:.0}%", share * 100.0),
                format!("{mean:.1}"),
                p99.to_string(),
                format!("{ideal_mean:.1}"),
                ideal_p99.to_string(),
                format!("{:.2}", p99 as f64 / ideal_p99 as f64),
            ]);
        }
    }
    table.into_markdown()
}

fn mean_and_p99(mut counts: Vec<u64>) -> (f64, u64) {
    counts.sort_unstable();
    let mean = counts.iter().sum::<u64>() as f64 / counts.len() as f64;
    (mean, quantile_of(&counts, 0.99))
}

/// Returns the number of outcomes of the failing target until an owner ejects it. Each
/// report carries one outcome and comes from a random data centre.
fn outcomes_to_ejection(deployment: &Deployment, share: f64, seed: u64) -> u64 {
    let mut run = MonitorRun::new(deployment, seed);
    let mut failing_outcomes = 0;
    for number in 0..MAX_OUTCOMES {
        let target = run.random_target();
        let is_failing = target == 0 && number > WARM_UP_OUTCOMES;
        failing_outcomes += u64::from(is_failing);
        let abnormal = run.rng.random_bool(if is_failing {
            share
        } else {
            BASELINE_ERROR_RATE
        });
        let events = run.report_outcome(number as u64 * OUTCOME_INTERVAL_US, target, abnormal);
        let ejected = |event: &HealthEvent| matches!(event, HealthEvent::Announce(decision) if decision.health == HealthState::Ejected);
        if is_failing && events.iter().any(ejected) {
            return failing_outcomes;
        }
    }
    failing_outcomes
}

/// Returns the number of outcomes until the reference test decides that the target is
/// failing.
fn ideal_outcomes(service: &Service, share: f64, seed: u64) -> u64 {
    let rates = Rates {
        baseline: BASELINE_ERROR_RATE,
        failing: share.min(0.999),
    };
    let bound = SequentialTest::upper_bound(service);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ratio: f64 = 0.0;
    for count in 1..MAX_OUTCOMES as u64 {
        let abnormal = u32::from(rng.random_bool(share));
        ratio += rates.log_ratio(Tally {
            normal: 1 - abnormal,
            abnormal,
        });
        ratio = ratio.max(0.0);
        if ratio >= bound {
            return count;
        }
    }
    MAX_OUTCOMES as u64
}
