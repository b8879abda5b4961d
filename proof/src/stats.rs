//! Statistics of a run.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Outcome;

/// Statistics of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests started, by service.
    pub begun: BTreeMap<Arc<str>, u64>,
    /// Requests served, by service.
    pub served: BTreeMap<Arc<str>, u64>,
    /// Requests refused or failed, by service.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Latencies of served requests in microseconds, by service.
    pub latencies_us: BTreeMap<Arc<str>, Vec<u64>>,
    /// Ejections, each with its time in microseconds and its target.
    pub ejections: Vec<(u64, Arc<str>)>,
    /// Number of messages between instances.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
    /// Number and bytes of messages, by category.
    pub by_category: BTreeMap<&'static str, (u64, u64)>,
    /// Number of times each command ran.
    pub runs: BTreeMap<Arc<str>, u32>,
    /// Outcomes that the caller of each command received, in order.
    pub command_outcomes: BTreeMap<Arc<str>, Vec<Outcome>>,
    /// Requests that reached a leaving target after its grace period.
    pub late_requests: u64,
    /// Requests aborted by a planned stop.
    pub cut_by_stop: u64,
    /// Requests that ended because their instance was killed.
    pub killed: u64,
}

impl Stats {
    /// Returns the commands that ran more than once.
    pub fn repeated_commands(&self) -> Vec<&Arc<str>> {
        let repeated = self.runs.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(command, _)| command).collect()
    }

    /// Returns the commands that ran although every outcome their callers received was `NotRun`.
    pub fn false_not_run(&self) -> Vec<&Arc<str>> {
        let false_reports = self.command_outcomes.iter().filter(|(command, outcomes)| {
            let all_not_run = outcomes.iter().all(|outcome| *outcome == Outcome::NotRun);
            all_not_run && self.runs.contains_key(*command)
        });
        false_reports.map(|(command, _)| command).collect()
    }

    /// Returns a quantile of a service's latencies in microseconds, or 0 without latencies.
    pub fn latency_us(&self, service: &str, quantile: f64) -> u64 {
        let Some(latencies) = self.latencies_us.get(service) else {
            return 0;
        };
        let mut sorted = latencies.clone();
        sorted.sort_unstable();
        quantile_of(&sorted, quantile)
    }
}

/// Returns a quantile of sorted values by the nearest-rank method, or 0 if there are none.
pub fn quantile_of(sorted: &[u64], quantile: f64) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}
