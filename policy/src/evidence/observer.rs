//! What an instance counts of its own requests, and reports to the homes.
//!
//! Normal and abnormal outcomes wait for the same flush, so that a home never
//! sees the abnormal ones early. Where reports would cost more than the
//! budget, normal outcomes are thinned at random and the report says by how
//! many steps; the home's test then stays exact.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Latencies;
use super::LatencyScale;
use super::Tally;
use super::tally::SAMPLING_SHIFTS;

/// Bytes a second that reports may cost.
pub(super) const REPORT_BUDGET_BYTES_PER_S: u64 = 1_000;

/// Latencies that a report carries while its sender knows too few.
const MAX_SAMPLES: usize = 8;
/// Latencies that a report carries otherwise.
const FEW_SAMPLES: usize = 2;
const ADJUST_PERIOD_US: u64 = 2_000_000;

/// Counts of one target in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's name.
    pub target: Arc<str>,
    /// Outcomes since the last report.
    pub tally: Tally,
}

/// Outcomes of one service's targets, met by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service's name.
    pub service: Arc<str>,
    /// Steps by which normal outcomes were thinned.
    pub sampling_shift: u8,
    /// Whether the sender knows what is slow.
    pub knows_latencies: bool,
    /// A few latencies of good answers in microseconds, so that instances that
    /// see few answers learn what is slow.
    pub samples_us: Vec<u32>,
    /// Counts by target.
    pub targets: Vec<TargetReport>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    scale: LatencyScale,
    samples_us: Vec<u32>,
    told: Latencies,
    pending: BTreeMap<Arc<str>, Tally>,
}

impl ServiceCounts {
    /// What is known by own answers or, while they are few, from a home.
    fn latencies(&self) -> Latencies {
        let own = self.scale.known();
        if own.is_known() { own } else { self.told }
    }

    fn add_latency(&mut self, latency_us: u64) {
        self.scale.add(latency_us);
        let limit = if self.scale.known().is_known() {
            FEW_SAMPLES
        } else {
            MAX_SAMPLES
        };
        if self.samples_us.len() < limit {
            self.samples_us
                .push(latency_us.min(u64::from(u32::MAX)) as u32);
        }
    }
}

/// Counts of an instance's own requests.
#[derive(Debug, Default)]
pub struct Observer {
    services: BTreeMap<Arc<str>, ServiceCounts>,
    sampling_shift: u8,
    spent_bytes: u64,
    adjusted_us: u64,
}

impl Observer {
    /// Whether an answer is normal, given the service's own scale.
    pub fn classify(&mut self, service: &Arc<str>, good: bool, latency_us: u64) -> Tally {
        let counts = self.services.entry(service.clone()).or_default();
        let known = counts.latencies();
        let slow = known.is_known() && latency_us > known.slow_us;
        if good {
            counts.add_latency(latency_us);
        }
        if good && !slow {
            Tally {
                normal: 1,
                abnormal: 0,
            }
        } else {
            Tally {
                normal: 0,
                abnormal: 1,
            }
        }
    }

    /// Counts one outcome of a target for the next report.
    pub fn count(
        &mut self,
        service: &Arc<str>,
        target: &Arc<str>,
        tally: Tally,
        rng: &mut ChaCha8Rng,
    ) {
        let kept = tally.abnormal > 0 || rng.random_range(0..1u32 << self.sampling_shift) == 0;
        if kept {
            let counts = self.services.entry(service.clone()).or_default();
            counts.pending.entry(target.clone()).or_default().add(tally);
        }
    }

    /// What is known of the latencies of a service.
    pub fn latencies(&self, service: &str) -> Latencies {
        let counts = self.services.get(service);
        counts.map(ServiceCounts::latencies).unwrap_or_default()
    }

    /// Takes in what a home tells of the latencies of a service.
    pub fn told(&mut self, service: &Arc<str>, latencies: Latencies) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.told = latencies;
        }
    }

    /// Takes what is to be reported.
    pub fn take_reports(&mut self) -> Vec<Report> {
        let mut reports = Vec::new();
        for (service, counts) in &mut self.services {
            if counts.pending.is_empty() {
                continue;
            }
            let targets = std::mem::take(&mut counts.pending)
                .into_iter()
                .map(|(target, tally)| TargetReport { target, tally })
                .collect();
            reports.push(Report {
                service: service.clone(),
                sampling_shift: self.sampling_shift,
                knows_latencies: counts.scale.known().is_known(),
                samples_us: std::mem::take(&mut counts.samples_us),
                targets,
            });
        }
        reports
    }

    /// Notes what reports have cost and thins more or less from then on.
    ///
    /// Called right after [`Self::take_reports`], so that no pending count
    /// mixes two thinnings.
    pub fn spend(&mut self, now_us: u64, bytes: u64) {
        self.spent_bytes += bytes;
        let period_us = now_us.saturating_sub(self.adjusted_us);
        if period_us < ADJUST_PERIOD_US {
            return;
        }
        let bytes_per_s = self.spent_bytes * 1_000_000 / period_us;
        if bytes_per_s > REPORT_BUDGET_BYTES_PER_S {
            self.sampling_shift = (self.sampling_shift + 1).min(SAMPLING_SHIFTS as u8 - 1);
        } else if bytes_per_s < REPORT_BUDGET_BYTES_PER_S / 3 {
            self.sampling_shift = self.sampling_shift.saturating_sub(1);
        }
        self.spent_bytes = 0;
        self.adjusted_us = now_us;
    }

    /// Drops services that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
