//! The load of a service as some instances see it.
//!
//! One instance sees a request or two a second, and scaled up to the fleet its
//! count is off by half. Each tells its own to two others a second, so that the
//! mean of the last ten seconds has some twenty of them.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Age beyond which what was told no longer counts, in microseconds.
const AGE_US: u64 = 10_000_000;
/// What was told that is kept at most.
const KEPT: usize = 64;

/// The load of a service as one instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service's name.
    pub service: Arc<str>,
    /// Slots that the instance's requests take up, in thousandths.
    pub slots_milli: u32,
    /// Requests a second that the instance gets, in thousandths.
    pub rate_milli: u32,
    /// The same over the last seconds only.
    pub recent_milli: u32,
}

/// What some instances have told lately.
#[derive(Debug, Default)]
pub(super) struct FleetLoad {
    told: VecDeque<(u64, Vec<LoadReport>)>,
}

/// A mean load of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MeanLoad {
    pub(super) slots: f64,
    pub(super) rate_per_s: f64,
    pub(super) recent_per_s: f64,
}

impl FleetLoad {
    /// Takes in what an instance tells.
    pub(super) fn told(&mut self, now_us: u64, loads: Vec<LoadReport>) {
        self.told.push_back((now_us, loads));
        let old = |at_us: u64| now_us.saturating_sub(at_us) > AGE_US;
        while self.told.len() > KEPT || self.told.front().is_some_and(|(at_us, _)| old(*at_us)) {
            self.told.pop_front();
        }
    }

    /// The mean of an instance's own load and of what others have told.
    pub(super) fn mean(&self, now_us: u64, service: &str, own: MeanLoad) -> MeanLoad {
        let recent = self.told.iter();
        let recent = recent.filter(|(at_us, _)| now_us.saturating_sub(*at_us) <= AGE_US);
        let mut sum = own;
        let mut count = 1.0;
        for (_, loads) in recent {
            count += 1.0;
            if let Some(load) = loads.iter().find(|load| &*load.service == service) {
                sum.slots += f64::from(load.slots_milli) / 1e3;
                sum.rate_per_s += f64::from(load.rate_milli) / 1e3;
                sum.recent_per_s += f64::from(load.recent_milli) / 1e3;
            }
        }
        MeanLoad {
            slots: sum.slots / count,
            rate_per_s: sum.rate_per_s / count,
            recent_per_s: sum.recent_per_s / count,
        }
    }
}
