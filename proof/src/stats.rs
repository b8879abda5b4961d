//! What a run has counted.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Outcome;

/// What a run has counted.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests begun, by service.
    pub begun: BTreeMap<Arc<str>, u64>,
    /// Requests served, by service.
    pub served: BTreeMap<Arc<str>, u64>,
    /// Requests refused or failed, by service.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Latencies of served requests in microseconds, by service.
    pub latencies_us: BTreeMap<Arc<str>, Vec<u64>>,
    /// Times at which homes ejected targets, by target.
    pub ejections: Vec<(u64, Arc<str>)>,
    /// Messages between instances.
    pub messages: u64,
    /// Bytes of these messages.
    pub bytes: u64,
    /// Messages by kind.
    pub by_kind: BTreeMap<&'static str, (u64, u64)>,
    /// How often each command ran.
    pub runs: BTreeMap<Arc<str>, u32>,
    /// What the callers of commands were told, in order.
    pub told: BTreeMap<Arc<str>, Vec<Outcome>>,
    /// Target runs that started after the target's leaving was long known.
    pub late_work: u64,
    /// Requests that a planned stop has cut.
    pub cut_by_stop: u64,
    /// Requests that ended because their instance was killed.
    pub killed: u64,
}

impl Stats {
    /// Commands that ran twice or more.
    pub fn run_twice(&self) -> Vec<&Arc<str>> {
        let twice = self.runs.iter().filter(|(_, runs)| **runs > 1);
        twice.map(|(command, _)| command).collect()
    }

    /// Commands that ran though the last word was that they were not run.
    pub fn untrue_not_run(&self) -> Vec<&Arc<str>> {
        let untrue = self.told.iter().filter(|(command, told)| {
            let all_not_run = told.iter().all(|outcome| *outcome == Outcome::NotRun);
            all_not_run && self.runs.contains_key(*command)
        });
        untrue.map(|(command, _)| command).collect()
    }

    /// A quantile of a service's latencies, in microseconds.
    pub fn latency_us(&self, service: &str, quantile: f64) -> u64 {
        let Some(latencies) = self.latencies_us.get(service) else {
            return 0;
        };
        let mut sorted = latencies.clone();
        sorted.sort_unstable();
        quantile_of(&sorted, quantile)
    }
}

/// A quantile of sorted values; 0 if there are none.
pub fn quantile_of(sorted: &[u64], quantile: f64) -> u64 {
    if sorted.is_empty() {
        return 0;
    }
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}
