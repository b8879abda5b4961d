//! The choice of a target by doubt and by the load that all must carry.
//!
//! Answers faults that come to each target alone and last seconds, with a third
//! of the targets failing at any time. Requests go to the targets that nothing
//! speaks against. Where these cannot carry the load, the least doubted others
//! join, one after the other; a target left alone becomes less doubted with
//! time, so those that failed longest ago join first.

use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;

use super::ServiceTable;

/// Doubt below which a target takes part whatever the load: four times the
/// doubt of a target that nothing speaks against, reached 11 s after a reset.
const UNDOUBTED: f64 = 0.15;
/// Doubt up to which a repeatable request may try a target out: about five
/// seconds after a reset, the shortest of the faults.
const TRIAL_DOUBT: f64 = 0.45;
/// Share of repeatable requests that try a doubted target out; each that fails
/// costs a retry, of which a fifth of the requests may make one.
const TRIAL_SHARE: f64 = 0.08;
/// Share of the nearby targets' slots that is filled before others are used.
const LOCAL_FILL: f64 = 0.6;

impl ServiceTable {
    pub(super) fn choose_by_doubt(
        &self,
        now_us: u64,
        repeatable: bool,
        free: &[usize],
        rng: &mut impl Rng,
    ) -> usize {
        let mut ranked: Vec<(f64, usize)> = free
            .iter()
            .map(|at| (self.candidates[*at].load.doubt(now_us), *at))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let set = self.working_set(&ranked);
        if repeatable && let Some(at) = self.trial(&ranked[set.len()..], rng) {
            return at;
        }
        let pool = self.near(set, rng);
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        if self.busyness(now_us, second) < self.busyness(now_us, first) {
            second
        } else {
            first
        }
    }

    /// The least doubted targets that carry the load together.
    fn working_set<'a>(&self, ranked: &'a [(f64, usize)]) -> &'a [(f64, usize)] {
        let required = self.load.required_slots.load(Ordering::Relaxed);
        let mut slots = 0;
        let mut len = 0;
        for (doubt, at) in ranked {
            if *doubt > UNDOUBTED && slots >= required && len > 0 {
                break;
            }
            slots += self.candidates[*at].target.slots;
            len += 1;
        }
        &ranked[..len]
    }

    /// A doubted target to try out, if this request is one that does so.
    fn trial(&self, others: &[(f64, usize)], rng: &mut impl Rng) -> Option<usize> {
        let (doubt, at) = others.first()?;
        let idle = self.candidates[*at].load.in_flight() == 0;
        (*doubt <= TRIAL_DOUBT && idle && rng.random_bool(TRIAL_SHARE)).then_some(*at)
    }

    /// Those of a working set that a request goes to: the nearby ones for as
    /// many requests as they can carry.
    fn near(&self, set: &[(f64, usize)], rng: &mut impl Rng) -> Vec<usize> {
        let is_near = |at: &usize| self.candidates[*at].round_trip_us == 0;
        let (near, far): (Vec<usize>, Vec<usize>) =
            set.iter().map(|(_, at)| *at).partition(is_near);
        if near.is_empty() || far.is_empty() {
            return if near.is_empty() { far } else { near };
        }
        let slots: u32 = near
            .iter()
            .map(|at| self.candidates[*at].target.slots)
            .sum();
        let wanted = self.load.local_slots.load(Ordering::Relaxed);
        let share = LOCAL_FILL * f64::from(slots) / f64::from(wanted.max(1));
        if rng.random_bool(share.min(1.0)) {
            near
        } else {
            far
        }
    }

    fn busyness(&self, now_us: u64, at: usize) -> f64 {
        let load = &self.candidates[at].load;
        let expected_us = load.expected_us(now_us, self.median_us()).max(1.0);
        expected_us * f64::from(load.in_flight() + 1)
    }
}
