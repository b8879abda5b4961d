//! Counts the outcomes of an instance's own requests for reports to the owners.
//!
//! Normal and abnormal outcomes are sent in the same flush, so that an owner never
//! receives the abnormal ones first. If reports would exceed their budget, normal
//! outcomes are sampled at random and the report states the sampling shift, so
//! that the owner's test stays exact.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Latencies;
use super::LatencyHistogram;
use super::Tally;
use super::tally::SAMPLING_SHIFTS;

/// Limit on the bytes per second that reports use.
pub(super) const REPORT_BUDGET_BYTES_PER_S: u64 = 1_000;

/// Latency samples in a report while the sender has no estimate of its own.
const SAMPLES_WITHOUT_ESTIMATE: usize = 8;
/// Latency samples in a report otherwise.
const SAMPLES_WITH_ESTIMATE: usize = 2;
const ADJUST_INTERVAL_US: u64 = 2_000_000;

/// Outcomes of one target in a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target's name.
    pub target: Arc<str>,
    /// Outcomes since the last report.
    pub tally: Tally,
}

/// Outcomes of one service's targets, as observed by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service's name.
    pub service: Arc<str>,
    /// Sampling shift `n`: one in 2ⁿ normal outcomes was counted.
    pub sampling_shift: u8,
    /// Whether the sender has a latency estimate from its own requests.
    pub has_latency_estimate: bool,
    /// Latencies of a few good responses in microseconds, so that instances with
    /// little traffic can still classify slow responses.
    pub samples_us: Vec<u32>,
    /// Counts by target.
    pub targets: Vec<TargetReport>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    latency_histogram: LatencyHistogram,
    samples_us: Vec<u32>,
    owner_latencies: Latencies,
    pending: BTreeMap<Arc<str>, Tally>,
}

impl ServiceCounts {
    /// Returns the instance's own estimate or, while it has too few responses, an owner's.
    fn latencies(&self) -> Latencies {
        let own = self.latency_histogram.latencies();
        if own.is_known() {
            own
        } else {
            self.owner_latencies
        }
    }

    fn add_latency(&mut self, latency_us: u64) {
        self.latency_histogram.add(latency_us);
        let limit = if self.latency_histogram.latencies().is_known() {
            SAMPLES_WITH_ESTIMATE
        } else {
            SAMPLES_WITHOUT_ESTIMATE
        };
        if self.samples_us.len() < limit {
            self.samples_us
                .push(latency_us.min(u64::from(u32::MAX)) as u32);
        }
    }
}

/// Outcomes and latencies of an instance's own requests, by service.
#[derive(Debug, Default)]
pub struct Observer {
    services: BTreeMap<Arc<str>, ServiceCounts>,
    sampling_shift: u8,
    spent_bytes: u64,
    last_adjusted_us: u64,
}

impl Observer {
    /// Classifies an outcome as normal or abnormal: failures and slow responses are abnormal.
    /// Adds the latency of a good response to the estimates.
    pub fn classify(&mut self, service: &Arc<str>, good: bool, latency_us: u64) -> Tally {
        let counts = self.services.entry(service.clone()).or_default();
        let latencies = counts.latencies();
        let slow = latencies.is_known() && latency_us > latencies.slow_us;
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

    /// Adds an outcome of a target to the next report.
    pub fn count(
        &mut self,
        service: &Arc<str>,
        target: &Arc<str>,
        tally: Tally,
        rng: &mut ChaCha8Rng,
    ) {
        let is_sampled =
            tally.abnormal > 0 || rng.random_range(0..1u32 << self.sampling_shift) == 0;
        if is_sampled {
            let counts = self.services.entry(service.clone()).or_default();
            counts.pending.entry(target.clone()).or_default().add(tally);
        }
    }

    /// Returns the latency estimates of a service.
    pub fn latencies(&self, service: &str) -> Latencies {
        let counts = self.services.get(service);
        counts.map(ServiceCounts::latencies).unwrap_or_default()
    }

    /// Stores the latency estimates of a service received from an owner.
    pub fn set_owner_latencies(&mut self, service: &Arc<str>, latencies: Latencies) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.owner_latencies = latencies;
        }
    }

    /// Takes the reports of all services with outcomes since the last call.
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
                has_latency_estimate: counts.latency_histogram.latencies().is_known(),
                samples_us: std::mem::take(&mut counts.samples_us),
                targets,
            });
        }
        reports
    }

    /// Records the size of sent reports and adjusts the sampling shift to the budget.
    ///
    /// Must be called right after [`Self::take_reports`], so that no pending count
    /// mixes two sampling shifts.
    pub fn record_report_bytes(&mut self, now_us: u64, bytes: u64) {
        self.spent_bytes += bytes;
        let period_us = now_us.saturating_sub(self.last_adjusted_us);
        if period_us < ADJUST_INTERVAL_US {
            return;
        }
        let bytes_per_s = self.spent_bytes * 1_000_000 / period_us;
        if bytes_per_s > REPORT_BUDGET_BYTES_PER_S {
            self.sampling_shift = (self.sampling_shift + 1).min(SAMPLING_SHIFTS as u8 - 1);
        } else if bytes_per_s < REPORT_BUDGET_BYTES_PER_S / 3 {
            self.sampling_shift = self.sampling_shift.saturating_sub(1);
        }
        self.spent_bytes = 0;
        self.last_adjusted_us = now_us;
    }

    /// Drops services that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
