//! Mean load per instance, from the load reports of a sample of the fleet.
//!
//! An instance receives one or two requests per second, so its own count scaled up to the
//! fleet is wrong by half. Each instance sends its load to two peers per second, so that the
//! mean over the last ten seconds includes about twenty reports.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Age beyond which a report no longer counts, in microseconds.
const MAX_REPORT_AGE_US: u64 = 10_000_000;
/// Maximum number of stored reports.
const MAX_REPORTS: usize = 64;

/// Load of a service on one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service's name.
    pub service: Arc<str>,
    /// Slots that the instance's requests occupy, in thousandths.
    pub slots_milli: u32,
    /// Requests per second that the instance receives, in thousandths.
    pub rate_milli: u32,
    /// Requests per second over the last few seconds only, in thousandths.
    pub recent_rate_milli: u32,
}

/// Recent load reports of peers, with the time of receipt.
#[derive(Debug, Default)]
pub(super) struct FleetLoad {
    reports: VecDeque<(u64, Vec<LoadReport>)>,
}

/// Mean load per instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MeanLoad {
    pub(super) slots: f64,
    pub(super) rate_per_s: f64,
    pub(super) recent_per_s: f64,
}

impl FleetLoad {
    /// Stores the reports of a peer and drops expired ones.
    pub(super) fn add(&mut self, now_us: u64, loads: Vec<LoadReport>) {
        self.reports.push_back((now_us, loads));
        let is_expired = |at_us: u64| now_us.saturating_sub(at_us) > MAX_REPORT_AGE_US;
        while self.reports.len() > MAX_REPORTS
            || self
                .reports
                .front()
                .is_some_and(|(at_us, _)| is_expired(*at_us))
        {
            self.reports.pop_front();
        }
    }

    /// Mean of the instance's own load and the recent reports of peers.
    pub(super) fn mean(&self, now_us: u64, service: &str, own: MeanLoad) -> MeanLoad {
        let recent = self.reports.iter();
        let recent = recent.filter(|(at_us, _)| now_us.saturating_sub(*at_us) <= MAX_REPORT_AGE_US);
        let mut sum = own;
        let mut count = 1.0;
        for (_, loads) in recent {
            count += 1.0;
            if let Some(load) = loads.iter().find(|load| &*load.service == service) {
                sum.slots += f64::from(load.slots_milli) / 1e3;
                sum.rate_per_s += f64::from(load.rate_milli) / 1e3;
                sum.recent_per_s += f64::from(load.recent_rate_milli) / 1e3;
            }
        }
        MeanLoad {
            slots: sum.slots / count,
            rate_per_s: sum.rate_per_s / count,
            recent_per_s: sum.recent_per_s / count,
        }
    }
}
