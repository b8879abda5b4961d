//! The load of a service as some instances see it.
//!
//! One instance sees a request or two a second, and scaled up to the fleet its
//! count is off by half. Each tells its own to two others a second, so that the
//! mean of the last ten seconds has some twenty of them. These are slow means; what
//! is in flight is shared only to tell a crowd from an outdated estimate of one.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Age beyond which what was told no longer counts, in microseconds.
const AGE_US: u64 = 10_000_000;
/// The same for what is in flight, in microseconds.
const IN_FLIGHT_AGE_US: u64 = 3_000_000;
/// What was told that is kept at most.
const KEPT: usize = 64;

/// Step in which deadlines are told, in milliseconds: those up to 12.7 s take one byte.
pub(super) const STEP_MS: u64 = 50;

/// The load of a service as one instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLoad {
    /// The service's name.
    pub service: Arc<str>,
    /// Slots that the instance's requests take up, in thousandths.
    pub slots_milli: u32,
    /// Requests a second that the instance gets, in thousandths.
    pub rate_milli: u32,
    /// The same over the last seconds only.
    pub recent_milli: u32,
    /// Requests in flight to targets that nothing speaks against.
    pub in_flight: u32,
    /// The shortest deadline of the latest requests, in steps of 50 ms; 0 if none.
    pub shortest_steps: u8,
}

/// What some instances have told lately.
#[derive(Debug, Default)]
pub(super) struct FleetLoad {
    told: VecDeque<(u64, Vec<ToldLoad>)>,
}

/// A mean load of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct MeanLoad {
    pub(super) slots: f64,
    pub(super) rate_per_s: f64,
    pub(super) recent_per_s: f64,
    pub(super) in_flight: f64,
    /// The shortest deadline that a quarter of them have seen, in seconds.
    pub(super) shortest_s: Option<f64>,
}

impl FleetLoad {
    /// Takes in what an instance tells.
    pub(super) fn told(&mut self, now_us: u64, loads: Vec<ToldLoad>) {
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
        let mut latest = 1.0;
        let mut shortest: Vec<f64> = own.shortest_s.into_iter().collect();
        for (at_us, loads) in recent {
            let is_latest = now_us.saturating_sub(*at_us) <= IN_FLIGHT_AGE_US;
            count += 1.0;
            latest += f64::from(u8::from(is_latest));
            if let Some(load) = loads.iter().find(|load| &*load.service == service) {
                sum.slots += f64::from(load.slots_milli) / 1e3;
                sum.rate_per_s += f64::from(load.rate_milli) / 1e3;
                sum.recent_per_s += f64::from(load.recent_milli) / 1e3;
                if is_latest {
                    sum.in_flight += f64::from(load.in_flight);
                }
                shortest.extend(seconds(load.shortest_steps));
            }
        }
        MeanLoad {
            slots: sum.slots / count,
            rate_per_s: sum.rate_per_s / count,
            recent_per_s: sum.recent_per_s / count,
            in_flight: sum.in_flight / latest,
            shortest_s: lower_quarter(shortest),
        }
    }
}

/// The steps that a deadline is told in, at least one.
pub(super) fn steps(shortest_s: Option<f64>) -> u8 {
    let steps = |shortest_s: f64| (shortest_s * 1e3 / STEP_MS as f64).clamp(1.0, 255.0);
    shortest_s.map_or(0, |shortest_s| steps(shortest_s) as u8)
}

/// The deadline that was told in steps, in seconds.
fn seconds(steps: u8) -> Option<f64> {
    (steps > 0).then(|| f64::from(steps) * STEP_MS as f64 / 1e3)
}

/// The value that a quarter of some values do not exceed.
fn lower_quarter(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 4).copied()
}
