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

use super::LatencyScale;
use super::Tally;
use super::tally::THINNING_STEPS;

/// Bytes a second that reports may cost.
pub(super) const REPORT_BUDGET_BYTES_PER_S: u64 = 1_500;

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
    pub thinning: u8,
    /// Counts by target.
    pub targets: Vec<TargetReport>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    scale: LatencyScale,
    pending: BTreeMap<Arc<str>, Tally>,
}

/// Counts of an instance's own requests.
#[derive(Debug, Default)]
pub struct Observer {
    services: BTreeMap<Arc<str>, ServiceCounts>,
    thinning: u8,
    spent_bytes: u64,
    adjusted_us: u64,
}

impl Observer {
    /// Whether an answer is normal, given the service's own scale.
    pub fn classify(&mut self, service: &Arc<str>, good: bool, latency_us: u64) -> Tally {
        let counts = self.services.entry(service.clone()).or_default();
        let slow = counts.scale.slow_us().is_some_and(|slow_us| latency_us > slow_us);
        if good {
            counts.scale.add(latency_us);
        }
        if good && !slow {
            Tally { normal: 1, abnormal: 0 }
        } else {
            Tally { normal: 0, abnormal: 1 }
        }
    }

    /// Counts one outcome of a target for the next report.
    pub fn count(&mut self, service: &Arc<str>, target: &Arc<str>, tally: Tally, rng: &mut ChaCha8Rng) {
        let kept = tally.abnormal > 0 || rng.random_range(0..1u32 << self.thinning) == 0;
        if kept {
            let counts = self.services.entry(service.clone()).or_default();
            counts.pending.entry(target.clone()).or_default().add(tally);
        }
    }

    /// The latency beyond which an answer of a service is slow, if known.
    pub fn slow_us(&self, service: &str) -> Option<u64> {
        self.services.get(service)?.scale.slow_us()
    }

    /// The median latency of a service, if known.
    pub fn median_us(&self, service: &str) -> Option<u64> {
        let median_us = self.services.get(service)?.scale.median_us();
        (median_us > 0).then_some(median_us)
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
                thinning: self.thinning,
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
            self.thinning = (self.thinning + 1).min(THINNING_STEPS as u8 - 1);
        } else if bytes_per_s < REPORT_BUDGET_BYTES_PER_S / 3 {
            self.thinning = self.thinning.saturating_sub(1);
        }
        self.spent_bytes = 0;
        self.adjusted_us = now_us;
    }

    /// Drops services that are no longer in the configuration.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
