//! Whether a service's load is more than its sound targets can carry.
//!
//! Answers a load that only a few sound targets are left for. What decides is known to
//! each instance at once: which targets nothing speaks against, and the load before.
//! Right after a start no load is known; what most services carry is assumed then.

/// Load, in parts of what the sound targets can finish, at which a crowd begins: requests
/// wait at a target of six slots that is filled beyond this.
const BEGINS: f64 = 0.8;
/// The same at which it ends; the load of refused callers that return lies between.
const ENDS: f64 = 0.6;
/// Load assumed while none is known, in parts of what all targets can finish: a crowd if
/// more than half of them are doubted.
const ASSUMED_LOAD: f64 = 0.4;

/// The load of a service on all instances, and what its targets can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    /// Requests a second; none while unknown.
    pub rate_per_s: Option<f64>,
    /// Mean time of a request at a target that nothing waits at, in seconds.
    pub work_s: f64,
    /// Slots of the targets that nothing speaks against.
    pub healthy_slots: u32,
    /// Slots of all targets.
    pub slots: u32,
}

impl LoadEstimate {
    /// Whether the service is crowded, if it was so before or was not.
    pub fn is_overloaded(&self, was_overloaded: bool) -> bool {
        let bound = if was_overloaded { ENDS } else { BEGINS };
        self.load() > bound
    }

    /// The part of the requests that the sound targets can finish.
    pub fn part_finished(&self) -> f64 {
        1.0 / self.load().max(1.0)
    }

    /// The load in parts of what the sound targets can finish.
    fn load(&self) -> f64 {
        let assumed = ASSUMED_LOAD * f64::from(self.slots);
        let needed = self.rate_per_s.map_or(assumed, |rate| rate * self.work_s);
        needed / f64::from(self.healthy_slots.max(1))
    }
}
