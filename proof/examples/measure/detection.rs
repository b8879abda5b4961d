//! Detection time, requests sent to the faulty target and false ejections, by service,
//! fault and mode.

use proof::Deployment;
use proof::Mode;
use proof::SECOND_US;
use proof::Sim;
use proof::TargetFault;

use super::table::Table;
use super::table::format_p50_p99;
use super::table::map_seeds;

const WARM_UP_US: u64 = 20 * SECOND_US;
const POLL_INTERVAL_US: u64 = 20_000;
const OBSERVATION_US: u64 = 60 * SECOND_US;
/// Share of instances that must avoid the target for the fault to count as detected.
const DETECTED_SHARE: f64 = 0.9;

struct RunResult {
    /// Time from the fault to its detection; `None` if it was not detected within
    /// [`OBSERVATION_US`].
    detection_us: Option<u64>,
    /// Requests sent to the faulty target until its detection.
    misdirected_requests: u64,
    /// Ejections of other targets.
    false_ejections: u64,
    served_share: f64,
}

pub(super) fn measure(seeds: u64) -> String {
    let faults = [
        ("dead", TargetFault::Dead),
        ("hung", TargetFault::Hung),
        ("100% failing", TargetFault::Failing(1.0)),
        ("30% failing", TargetFault::Failing(0.3)),
        ("5x slow", TargetFault::Slow(5.0)),
        ("flapping each 10 s", TargetFault::Flapping(10)),
        ("failing from one data centre", TargetFault::FailingFromOne),
    ];
    let mut table = Table::new(
        "Detection",
        &[
            "service",
            "fault",
            "mode",
            "p50 s",
            "p99 s",
            "wrong work, mean",
            "false ejections a run",
            "served",
        ],
    );
    let cases = [
        (Deployment::rodopi().only("dashboards"), "dashboards"),
        (Deployment::kinderhut().only("booking"), "booking"),
        (Deployment::kinderhut().only("search"), "search"),
    ];
    for (deployment, service) in cases {
        for (name, fault) in faults {
            for mode in [Mode::RoundRobin, Mode::Alone, Mode::Shared] {
                let results = map_seeds(seeds, |seed| run(&deployment, service, fault, mode, seed));
                table.add_row(&format_row(service, name, mode, &results));
            }
        }
    }
    table.into_markdown()
}

/// Formats the table row of one service, fault and mode.
fn format_row(service: &str, fault: &str, mode: Mode, results: &[RunResult]) -> Vec<String> {
    let (p50, p99) = format_p50_p99(results.iter().map(|result| result.detection_us).collect());
    let runs = results.len() as f64;
    let misdirected: u64 = results
        .iter()
        .map(|result| result.misdirected_requests)
        .sum();
    let false_ejections: u64 = results.iter().map(|result| result.false_ejections).sum();
    let served: f64 = results.iter().map(|result| result.served_share).sum();
    vec![
        service.to_owned(),
        fault.to_owned(),
        format!("{mode:?}"),
        p50,
        p99,
        format!("{:.1}", misdirected as f64 / runs),
        format!("{:.3}", false_ejections as f64 / runs),
        format!("{:.4}", served / runs),
    ]
}

fn run(
    deployment: &Deployment,
    service: &str,
    fault: TargetFault,
    mode: Mode,
    seed: u64,
) -> RunResult {
    let mut sim = Sim::new(deployment.clone(), mode, seed);
    sim.run_until(WARM_UP_US);
    let target = sim.targets_of(service)[1].clone();
    let requests_before = sim.requests_of(&target);
    sim.reset_stats();
    sim.set_fault(&target, fault);
    let mut detection_us = None;
    let mut misdirected_requests = 0;
    while sim.now_us < WARM_UP_US + OBSERVATION_US && detection_us.is_none() {
        sim.run_for(POLL_INTERVAL_US);
        let share = if fault == TargetFault::FailingFromOne {
            sim.avoiding_share_in_first_data_centre(service, &target)
        } else {
            sim.avoiding_share(service, &target)
        };
        if share >= DETECTED_SHARE {
            detection_us = Some(sim.now_us - WARM_UP_US);
        }
        misdirected_requests = sim.requests_of(&target) - requests_before;
    }
    let false_ejections = sim
        .stats
        .ejections
        .iter()
        .filter(|(_, other)| *other != target)
        .count();
    let begun: u64 = sim.stats.begun.values().sum();
    let served: u64 = sim.stats.served.values().sum();
    RunResult {
        detection_us,
        misdirected_requests,
        false_ejections: false_ejections as u64,
        served_share: served as f64 / begun.max(1) as f64,
    }
}
