//! Latency, refusals and goodput under load, with all 7 targets of a service and with
//! 2 of them (about a third) dead.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;

use super::table::Table;
use super::table::map_seeds;

const WARM_UP_US: u64 = 15 * SECOND_US;
const OBSERVATION_US: u64 = 20 * SECOND_US;
const SEEDS: u64 = 8;
const SLOTS_PER_TARGET: f64 = 6.0;
const MEAN_WORK_S: f64 = 0.025;

pub(super) fn measure() -> String {
    let mut table = Table::new(
        "Rodopi under load: dashboards at a share of the capacity that is left, gates and exports besides",
        &[
            "load",
            "targets gone",
            "mode",
            "p50 ms",
            "p99 ms",
            "p999 ms",
            "refused",
            "goodput over capacity",
            "gates p99 ms",
            "gates served",
            "exports served",
        ],
    );
    for dead_targets in [0usize, 2] {
        for load in [0.5, 0.85, 1.2] {
            for mode in [Mode::RoundRobin, Mode::Alone, Mode::Shared] {
                let rows = map_seeds(SEEDS, |seed| run(load, dead_targets, mode, seed));
                let mean =
                    |col: usize| rows.iter().map(|row| row[col]).sum::<f64>() / rows.len() as f64;
                let ms = |col: usize| format!("{:.0}", mean(col));
                let share = |col: usize| format!("{:.3}", mean(col));
                table.add_row(&[
                    format!("{load}"),
                    dead_targets.to_string(),
                    format!("{mode:?}"),
                    ms(0),
                    ms(1),
                    ms(2),
                    share(3),
                    share(4),
                    ms(5),
                    share(6),
                    share(7),
                ]);
            }
        }
    }
    table.into_markdown()
}

/// Returns the measured columns of the table in their order: latencies in ms, shares as
/// fractions.
fn run(load: f64, dead_targets: usize, mode: Mode, seed: u64) -> [f64; 8] {
    let targets = 7 - dead_targets;
    let capacity_per_s = targets as f64 * SLOTS_PER_TARGET / MEAN_WORK_S;
    let deployment = Deployment::rodopi()
        .load("dashboards", capacity_per_s * load)
        .load("exports", 5.0);
    let mut sim = Sim::new(deployment, mode, seed);
    for target in sim.targets_of("dashboards").iter().take(dead_targets) {
        sim.set_fault(target, TargetFault::Dead);
    }
    sim.run_until(WARM_UP_US);
    sim.reset_stats();
    sim.run_for(OBSERVATION_US);
    let stats = &sim.stats;
    let count = |map: &std::collections::BTreeMap<std::sync::Arc<str>, u64>, service: &str| {
        map.get(service).copied().unwrap_or(0) as f64
    };
    let ms = |service: &str, quantile: f64| stats.latency_us(service, quantile) as f64 / 1e3;
    let served =
        |service: &str| count(&stats.served, service) / count(&stats.begun, service).max(1.0);
    let seconds = OBSERVATION_US as f64 / 1e6;
    let goodput = count(&stats.served, "dashboards") / seconds / (capacity_per_s * load.min(1.0));
    [
        ms("dashboards", 0.5),
        ms("dashboards", 0.99),
        ms("dashboards", 0.999),
        count(&stats.refused, "dashboards") / count(&stats.begun, "dashboards"),
        goodput,
        ms("gates", 0.99),
        served("gates"),
        served("exports"),
    ]
}
