//! Outcomes that a failing target's test takes, against the ideal one.

use model::configuration::Service;
use policy::evidence::HealthEvent;
use policy::evidence::HealthState;
use policy::evidence::Rates;
use policy::evidence::SequentialTest;
use policy::evidence::Tally;
use proof::Deployment;
use proof::HomeRun;
use proof::MILLI_US;
use proof::quantile_of;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::table::Table;
use super::table::each_seed;

const RUNS: u64 = 2_000;
const BACKGROUND: f64 = 0.01;
const GAP_US: u64 = 100 * MILLI_US;
const WARM_UP: usize = 3_000;
const LIMIT: usize = 20_000;

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
            let ours = each_seed(RUNS, |seed| ours(&deployment, share, seed));
            let ideal = each_seed(RUNS, |seed| {
                ideal(&deployment.note.services.add[0], share, seed)
            });
            let (mean, p99) = figures(ours);
            let (ideal_mean, ideal_p99) = figures(ideal);
            table.row(&[
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
    table.text()
}

fn figures(mut counts: Vec<u64>) -> (f64, u64) {
    counts.sort_unstable();
    let mean = counts.iter().sum::<u64>() as f64 / counts.len() as f64;
    (mean, quantile_of(&counts, 0.99))
}

/// Outcomes until a home ejects the target, one outcome a report from any data centre.
fn ours(deployment: &Deployment, share: f64, seed: u64) -> u64 {
    let mut run = HomeRun::new(deployment, seed);
    let mut met = 0;
    for number in 0..LIMIT {
        let target = run.any_target();
        let failing = target == 0 && number > WARM_UP;
        met += u64::from(failing);
        let abnormal = run
            .rng
            .random_bool(if failing { share } else { BACKGROUND });
        let events = run.meet(number as u64 * GAP_US, target, abnormal);
        let ejected = |event: &HealthEvent| matches!(event, HealthEvent::Announce(decision) if decision.health == HealthState::Ejected);
        if failing && events.iter().any(ejected) {
            return met;
        }
    }
    met
}

/// Outcomes until a test that knows both rates decides, started at the fault.
fn ideal(service: &Service, share: f64, seed: u64) -> u64 {
    let rates = Rates {
        baseline: BACKGROUND,
        failing: share.min(0.999),
    };
    let bound = SequentialTest::upper_bound(service);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ratio: f64 = 0.0;
    for count in 1..LIMIT as u64 {
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
    LIMIT as u64
}
