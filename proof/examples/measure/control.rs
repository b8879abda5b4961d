//! Messages, bytes and platform calls of control against the number of instances.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;

use super::table::Table;
use super::table::each_seed;

const WARM_UP_US: u64 = 30 * SECOND_US;
const WATCH_US: u64 = 60 * SECOND_US;
const SIZES: [usize; 5] = [8, 16, 36, 72, 144];

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
    let rows = each_seed(SIZES.len() as u64, |at| run(SIZES[at as usize]));
    for row in rows {
        table.row(&row);
    }
    table.text()
}

fn run(instances: usize) -> Vec<String> {
    let deployment = Deployment::rodopi().instances(instances).background(0.01);
    let mut sim = Sim::new(deployment, Mode::Shared, 1);
    sim.run_until(WARM_UP_US);
    sim.reset_stats();
    let calls = sim.platform_calls();
    sim.run_for(WATCH_US);
    let seconds = WATCH_US as f64 / 1e6;
    let each = |total: u64| format!("{:.1}", total as f64 / seconds / instances as f64);
    let kind = |name: &str| each(sim.stats.by_kind.get(name).map_or(0, |(_, bytes)| *bytes));
    let calls = (sim.platform_calls() - calls) as f64 / seconds;
    vec![
        instances.to_string(),
        each(sim.stats.messages),
        each(sim.stats.bytes),
        kind("heartbeats"),
        kind("reports"),
        kind("verdicts"),
        format!("{calls:.2}"),
    ]
}
