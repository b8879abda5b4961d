//! Detects that the load of a service exceeds the capacity of its healthy targets.
//!
//! This covers failures that leave only a few healthy targets for all of the load. The decision
//! uses only data that each instance has without delay: which targets are healthy, and the load
//! measured so far. Right after a start, the load is unknown, and a typical load is assumed.

/// Load, as a share of the healthy targets' capacity, above which a service becomes overloaded:
/// requests queue at a target with six slots if its load is higher.
const OVERLOAD_START_LOAD: f64 = 0.8;
/// Load at or below which the overload ends. The gap absorbs the retries of refused callers.
const OVERLOAD_END_LOAD: f64 = 0.6;
/// Load assumed while it is unknown, as a share of all targets' capacity: an overload if more
/// than half of them are suspect.
const DEFAULT_LOAD: f64 = 0.4;

/// Load of a service over all instances, and the capacity of its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests per second; `None` while unknown.
    pub rate_per_s: Option<f64>,
    /// Mean time of a request at a target with an empty queue, in seconds.
    pub work_s: f64,
    /// Slots of the healthy targets.
    pub healthy_slots: u32,
    /// Slots of all targets.
    pub slots: u32,
}

impl LoadEstimate {
    /// Whether the service is overloaded, with hysteresis by the previous state.
    pub fn is_overloaded(&self, was_overloaded: bool) -> bool {
        let bound = if was_overloaded {
            OVERLOAD_END_LOAD
        } else {
            OVERLOAD_START_LOAD
        };
        self.load() > bound
    }

    /// Share of the requests that the healthy targets can serve.
    pub fn servable_share(&self) -> f64 {
        1.0 / self.load().max(1.0)
    }

    /// Load as a share of the healthy targets' capacity.
    fn load(&self) -> f64 {
        let default_slots = DEFAULT_LOAD * f64::from(self.slots);
        let needed_slots = self
            .rate_per_s
            .map_or(default_slots, |rate| rate * self.work_s);
        needed_slots / f64::from(self.healthy_slots.max(1))
    }
}
