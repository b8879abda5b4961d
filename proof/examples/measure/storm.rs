//! Ejections under faults that affect all targets of a service at once, and at low
//! request rates.
//!
//! Neither may cause an ejection, since no target is worse than the others.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;

use super::table::Table;
use super::table::map_seeds;

const WARM_UP_US: u64 = 20 * SECOND_US;
const STORM_US: u64 = 30 * SECOND_US;
const LOW_LOAD_PER_S: f64 = 0.3;

pub(super) fn measure(seeds: u64) -> String {
    let mut table = Table::new(
        "Storms and rare requests: ejections, none of which has a cause",
        &[
            "service",
            "what befalls all targets",
            "mode",
            "runs",
            "ejections",
            "served",
        ],
    );
    let storms = [
        ("5x slow", TargetFault::Slow(5.0)),
        ("40% failing", TargetFault::Failing(0.4)),
        ("nothing, 1% of answers fail", TargetFault::Healthy),
    ];
    let cases = [
        (Deployment::rodopi().only("dashboards"), "dashboards"),
        (Deployment::kinderhut().only("booking"), "booking"),
        (Deployment::kinderhut().only("search"), "search"),
        (
            Deployment::kinderhut()
                .only("search")
                .load("search", LOW_LOAD_PER_S),
            "search, 0.3 requests/s in all",
        ),
    ];
    for (deployment, name) in cases {
        let deployment = deployment.baseline_error_rate(0.01);
        for (storm, fault) in storms {
            for mode in [Mode::RoundRobin, Mode::Alone, Mode::Shared] {
                let runs = map_seeds(seeds, |seed| run(&deployment, fault, mode, seed));
                let ejections: usize = runs.iter().map(|(ejections, _)| ejections).sum();
                let served: f64 = runs.iter().map(|(_, served)| served).sum();
                table.add_row(&[
                    name.to_owned(),
                    storm.to_owned(),
                    format!("{mode:?}"),
                    seeds.to_string(),
                    ejections.to_string(),
                    format!("{:.3}", served / runs.len() as f64),
                ]);
            }
        }
    }
    table.into_markdown()
}

/// Returns the number of ejections and the share of requests served during the storm.
fn run(deployment: &Deployment, fault: TargetFault, mode: Mode, seed: u64) -> (usize, f64) {
    let mut sim = Sim::new(deployment.clone(), mode, seed);
    sim.run_until(WARM_UP_US);
    sim.reset_stats();
    let service = deployment.loads[0].service.clone();
    for target in sim.targets_of(&service) {
        sim.set_fault(&target, fault);
    }
    sim.run_for(STORM_US);
    let begun: u64 = sim.stats.begun.values().sum();
    let served: u64 = sim.stats.served.values().sum();
    (
        sim.stats.ejections.len(),
        served as f64 / begun.max(1) as f64,
    )
}
