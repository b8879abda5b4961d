//! Control traffic and platform calls by number of instances.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;

use super::table::Table;
use super::table::map_seeds;

const WARM_UP_US: u64 = 30 * SECOND_US;
const OBSERVATION_US: u64 = 60 * SECOND_US;
const INSTANCES: [usize; 5] = [8, 16, 36, 72, 144];

pub(super) fn measure() -> String {
    let mut table = Table::new(
        "Control of one instance a second at Rodopi's load of today, against the number of instances",
        &[
            "instances",
            "messages",
            "bytes",
            "heartbeat bytes",
            "report bytes",
            "verdict bytes",
            "platform calls of all",
        ],
    );
    let rows = map_seeds(INSTANCES.len() as u64, |i| run(INSTANCES[i as usize]));
    for row in rows {
        table.add_row(&row);
    }
    table.into_markdown()
}

/// Returns the table row for a number of instances.
fn run(instances: usize) -> Vec<String> {
    let deployment = Deployment::rodopi()
        .instances(instances)
        .baseline_error_rate(0.01);
    let mut sim = Sim::new(deployment, Mode::Shared, 1);
    sim.run_until(WARM_UP_US);
    sim.reset_stats();
    let calls = sim.platform_calls();
    sim.run_for(OBSERVATION_US);
    let seconds = OBSERVATION_US as f64 / 1e6;
    let per_instance_s = |total: u64| format!("{:.1}", total as f64 / seconds / instances as f64);
    let bytes_of =
        |name: &str| per_instance_s(sim.stats.by_category.get(name).map_or(0, |(_, size)| *size));
    let calls = (sim.platform_calls() - calls) as f64 / seconds;
    vec![
        instances.to_string(),
        per_instance_s(sim.stats.messages),
        per_instance_s(sim.stats.bytes),
        bytes_of("heartbeats"),
        bytes_of("reports"),
        bytes_of("verdicts"),
        format!("{calls:.2}"),
    ]
}
