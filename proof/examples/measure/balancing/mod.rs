//! Evenness and waiting of the choice of targets, with what an instance knows: its own requests, or
//! reports of a given age, which only the comparison has.
//!
//! One data centre without failures; the targets' mean service times differ by a factor of three, and
//! the instances' shares of the callers are log-normal, as a balancer spreads connections by hash.

mod knowledge;
mod simulation;
mod target_queue;

use simulation::Measured;
use simulation::Policy;
use simulation::Scenario;

use super::table::Table;
use super::table::map_seeds;

/// Instances, targets and seconds measured of both deployments.
const FLEETS: [(usize, usize, f64); 2] = [(36, 265, 30.0), (101, 294, 30.0)];
/// A large deployment, with targets in proportion to the second.
const LARGE_FLEETS: [(usize, usize, f64); 1] = [(4_000, 11_644, 5.0)];
const LOADS: [f64; 4] = [0.2, 0.5, 0.7, 0.9];
const AGES_MS: [u64; 5] = [0, 250, 500, 1_000, 2_000];

pub(super) fn measure() -> String {
    measure_fleets(
        "Balancing: what an instance knows, against an oracle that knows all queues",
        &FLEETS,
    )
}

/// Takes some minutes.
pub(super) fn measure_large() -> String {
    measure_fleets("Balancing in a large fleet", &LARGE_FLEETS)
}

fn measure_fleets(title: &str, fleets: &[(usize, usize, f64)]) -> String {
    let mut table = Table::new(
        title,
        &[
            "instances",
            "load",
            "policy",
            "age ms",
            "busiest over mean in 5 s",
            "refused while others idle in 1,000",
            "wait ms, mean",
            "wait ms, p99",
            "response over oracle's",
            "new connections per request",
        ],
    );
    let mut scenarios = Vec::new();
    for (instances, targets, seconds) in fleets.iter().copied() {
        for load in LOADS {
            let mut add = |policy, age_ms| {
                scenarios.push(Scenario {
                    instances,
                    targets,
                    seconds,
                    load,
                    policy,
                    age_ms,
                });
            };
            let without_reports = [
                Policy::Oracle,
                Policy::Present,
                Policy::Subset,
                Policy::SubsetIdleFirst,
                Policy::SubsetFreshFirst,
                Policy::SubsetLongestIdle,
                Policy::SubsetCheapestHalf,
            ];
            without_reports
                .into_iter()
                .for_each(|policy| add(policy, 0));
            for age_ms in AGES_MS {
                add(Policy::Reports, age_ms);
                add(Policy::Interpretation, age_ms);
            }
        }
    }
    let results = map_seeds(scenarios.len() as u64, |number| {
        simulation::run(&scenarios[number as usize])
    });
    let mut oracle: Option<&Measured> = None;
    for (scenario, measured) in scenarios.iter().zip(&results) {
        if scenario.policy == Policy::Oracle {
            oracle = Some(measured);
        }
        let oracle_ms = oracle.map_or(measured.response_ms, |oracle| oracle.response_ms);
        table.add_row(&[
            scenario.instances.to_string(),
            format!("{}", scenario.load),
            scenario.policy.to_string(),
            match scenario.policy {
                Policy::Reports | Policy::Interpretation => scenario.age_ms.to_string(),
                _ => "-".to_owned(),
            },
            format!("{:.2}", measured.busiest_over_mean),
            format!("{:.2}", measured.refused_per_mille),
            format!("{:.1}", measured.wait_ms),
            format!("{:.0}", measured.wait_p99_ms),
            format!("{:.2}", measured.response_ms / oracle_ms),
            format!("{:.2}", measured.new_connections),
        ]);
    }
    table.into_markdown()
}
