//! How much of a service's load its targets can finish in time.
//!
//! Answers a load that only a few sound targets are left for: what they cannot finish
//! waits at them until the queue is as long as the shortest deadline, and callers with
//! little time get nothing while those with much are answered late. Work of callers
//! that have gone takes slots as well. What would make the wait longer than that within
//! the length of a usual fault is refused at once instead.

/// Time for which the load is assumed to last, in seconds: spells of targets take 5 to
/// 13 s.
const LASTING_S: f64 = 8.0;
/// Part of the shortest deadline that work and wait may take.
const USABLE_PART: f64 = 0.8;
/// Parts of what may be in flight at which a crowd begins and ends.
const BEGINS: f64 = 2.5;
const ENDS: f64 = 0.6;
/// Least and greatest correction of the rate by what is in flight, as that is known from
/// a few instances only.
const CORRECTION: (f64, f64) = (0.4, 1.2);

/// The load of a service on all instances, and what its targets can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Crowding {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Mean time of a request at a target that nothing waits at, in seconds.
    pub work_s: f64,
    /// Slots of the targets that nothing speaks against.
    pub slots: u32,
    /// Requests in flight to these targets.
    pub in_flight: f64,
    /// The shortest deadline of the latest requests, in seconds.
    pub shortest_s: f64,
}

impl Crowding {
    /// Requests a second that are admitted on all instances; none if all are.
    ///
    /// A rate and not a share, as those that are refused come back and raise the load
    /// faster than it is measured.
    pub fn admitted_per_s(&self, is_crowded: bool) -> Option<f64> {
        let slots = f64::from(self.slots.max(1));
        let work_s = self.work_s.max(f64::MIN_POSITIVE);
        let bound_per_s = self.longest_load() * slots / work_s;
        let rounds = USABLE_PART * self.shortest_s / work_s;
        let most_in_flight = slots * rounds.max(1.0);
        let part = if is_crowded { ENDS } else { BEGINS };
        if self.rate_per_s <= bound_per_s || self.in_flight < part * most_in_flight {
            return None;
        }
        let (least, greatest) = CORRECTION;
        let correction = (most_in_flight / self.in_flight.max(1.0)).clamp(least, greatest);
        Some(bound_per_s * correction)
    }

    /// The load, in parts of what the targets can finish, under which the wait stays
    /// below the shortest deadline. One shorter than the work cannot be met at all.
    fn longest_load(&self) -> f64 {
        let wait_s = USABLE_PART * self.shortest_s - self.work_s;
        1.0 + wait_s.max(0.0) / LASTING_S
    }
}
