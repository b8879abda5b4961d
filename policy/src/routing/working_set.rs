//! The choice of a target by doubt and by the load that all must carry.
//!
//! Answers faults that come to each target alone and last seconds, with a third
//! of the targets failing at any time. Requests go to the targets that nothing
//! speaks against; what these cannot carry they refuse themselves, which loses
//! less than a target that fails nearly all it gets. Doubted targets are tried
//! out by single requests at a bounded pace for the whole fleet: by repeatable
//! requests at any time, by others only while targets are short. A target that
//! is left alone becomes less doubted with time.

use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Candidate;
use super::Need;
use super::ServiceTable;
use super::Slot;

/// Doubt below which a target takes part: reached 11 s after a reset, and not
/// passed by a single error.
const MAX_HEALTHY_PROBABILITY: f64 = 0.25;
/// Trials: about five seconds after a reset, the shortest of the faults.
const USUAL_PACE: TrialPace = TrialPace {
    failure_probability: 0.52,
    trials_per_s: 1.0,
};
/// Trials by repeatable requests while targets are short, as a failed one costs a
/// retry only, and by all while targets are overloaded: two seconds after a reset.
const EAGER_PACE: TrialPace = TrialPace {
    failure_probability: 0.75,
    trials_per_s: 2.0,
};
/// Trials while many requests fail, so that targets that are sound again get work
/// within the two seconds of the floor; a part of the instances only sees them fail.
const STRAINED_PACE: TrialPace = TrialPace {
    failure_probability: 0.55,
    trials_per_s: 2.0,
};
/// Share of the requests that try out doubted targets at most: as many as the bound on
/// retries can send again.
const MOST_TRIED: f64 = 0.2;
/// Share of a service's slots that is used however doubted the targets are.
const LEAST_SHARE: f64 = 0.2;
/// Share of the slots in use that the load may fill before targets are short.
const SHORT_FILL: f64 = 0.75;
/// The same, from which requests wait at the targets until they are late: a target
/// found sound then serves more requests than its trials lose.
const OVERLOAD_FILL: f64 = 0.95;
/// Part of the time left that the mean answer takes, from which a repeatable request
/// tries a doubted target first: a reset costs it some milliseconds, waiting behind
/// others nearly all its time.
const LATE_PART: f64 = 0.6;
/// Share of the nearby targets' slots that is filled before others are used.
const LOCAL_FILL: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct TrialPace {
    /// Doubt up to which a target is tried out.
    failure_probability: f64,
    /// Trials of one target that all instances make together in a second.
    trials_per_s: f64,
}

impl ServiceTable {
    pub(super) fn choose_by_failure_probability(
        &self,
        now_us: u64,
        need: Need<'_>,
        free: &[usize],
        rng: &mut impl Rng,
    ) -> usize {
        let mut ranked: Vec<(f64, usize)> = free
            .iter()
            .map(|at| (self.candidates[*at].load.failure_probability(now_us), *at))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (healthy, suspect) = ranked.split_at(self.working_set_len(&ranked));
        // In a crowd no queue is long, and a sound target is asked first.
        if need.repeatable
            && need.tried.is_empty()
            && !self.load.overload.is_overloaded()
            && self.would_be_late(need.left_us)
            && let Some(at) = self.least_doubted_idle(suspect)
        {
            return at;
        }
        let pace = self.pace(need.repeatable, healthy);
        if let Some(pace) = pace
            && let Some(at) = self.trial(suspect, pace, rng)
        {
            return at;
        }
        let pool = if self.fill_of(healthy) > SHORT_FILL {
            healthy.iter().map(|(_, at)| *at).collect()
        } else {
            self.near(healthy, rng)
        };
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        if self.busyness(now_us, second) < self.busyness(now_us, first) {
            second
        } else {
            first
        }
    }

    /// Whether the targets in use answer too late for a request with so much time left.
    fn would_be_late(&self, left_us: u64) -> bool {
        let slots = f64::from(self.load.needed_slots.load(Ordering::Relaxed));
        let rate_milli = self.load.fleet_rate_milli.load(Ordering::Relaxed).max(1);
        let latency_us = slots * 1e9 / rate_milli as f64;
        latency_us > LATE_PART * left_us as f64
    }

    /// The least doubted of the targets that may be sound again, if it is idle here.
    fn least_doubted_idle(&self, suspect: &[(f64, usize)]) -> Option<usize> {
        let idle = |at: &usize| self.candidates[*at].load.in_flight() == 0;
        let ripe = suspect.iter().filter(|(failure_probability, _)| {
            *failure_probability <= EAGER_PACE.failure_probability
        });
        ripe.map(|(_, at)| *at).find(idle)
    }

    /// How many of the targets, the least doubted first, take part.
    fn working_set_len(&self, ranked: &[(f64, usize)]) -> usize {
        let is_any_healthy = ranked.first().is_some_and(|(failure_probability, _)| {
            *failure_probability <= MAX_HEALTHY_PROBABILITY
        });
        let least = match is_any_healthy {
            true => 0,
            false => (f64::from(self.slots()) * LEAST_SHARE) as u32,
        };
        let mut slots = 0;
        let mut len = 0;
        for (failure_probability, at) in ranked {
            if *failure_probability > MAX_HEALTHY_PROBABILITY && slots >= least && len > 0 {
                break;
            }
            slots += self.candidates[*at].target.slots;
            len += 1;
        }
        len
    }

    /// Whether the load fills the targets that nothing speaks against.
    pub fn is_full(&self, now_us: u64) -> bool {
        let healthy = self.healthy(now_us);
        self.fill(healthy.map(|candidate| candidate.target.slots).sum()) > SHORT_FILL
    }

    /// Slots of the targets that nothing speaks against.
    pub fn healthy_slots(&self, now_us: u64) -> u32 {
        let healthy = self.healthy(now_us);
        healthy.map(|candidate| candidate.target.slots).sum()
    }

    /// Whether a request to a candidate needs a permit: all do while the service is
    /// crowded, but for trials beside targets that nothing speaks against.
    pub fn needs_permit(&self, now_us: u64, at: usize) -> bool {
        let is_trial = || {
            self.candidates[at].load.failure_probability(now_us) > MAX_HEALTHY_PROBABILITY
                && self.healthy(now_us).next().is_some()
        };
        self.load.overload.is_overloaded() && !is_trial()
    }

    /// Another target for a request that got no permit: one that nothing speaks against,
    /// or for a repeatable one a doubted target that may be sound again.
    pub fn choose_unpermitted(
        &self,
        now_us: u64,
        need: Need<'_>,
        denied: &[usize],
        rng: &mut impl Rng,
    ) -> Option<(usize, Slot)> {
        let is_left = |at: &usize| {
            let load = &self.candidates[*at].load;
            !denied.contains(at)
                && !need.tried.contains(at)
                && !load.is_closed()
                && load.has_room(now_us)
        };
        let left = (0..self.candidates.len()).filter(is_left);
        let left = left.map(|at| (self.candidates[at].load.failure_probability(now_us), at));
        let (mut suspect, healthy): (Vec<_>, Vec<_>) = left
            .partition(|(failure_probability, _)| *failure_probability > MAX_HEALTHY_PROBABILITY);
        suspect.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = match healthy.iter().choose(rng) {
            Some((_, at)) => Some(*at),
            None if need.repeatable => self.least_doubted_idle(&suspect),
            None => self.trial(&suspect, EAGER_PACE, rng),
        };
        let at = at?;
        Some((at, self.candidates[at].load.take(now_us)?))
    }

    /// The targets that nothing speaks against.
    fn healthy(&self, now_us: u64) -> impl Iterator<Item = &Candidate> {
        let candidates = self.candidates.iter();
        candidates.filter(move |candidate| {
            !candidate.load.is_closed()
                && candidate.load.failure_probability(now_us) <= MAX_HEALTHY_PROBABILITY
        })
    }

    /// The share of a set's slots that the load takes up.
    fn fill_of(&self, set: &[(f64, usize)]) -> f64 {
        let slots = set.iter().map(|(_, at)| self.candidates[*at].target.slots);
        self.fill(slots.sum())
    }

    /// The share of some slots that the load takes up.
    fn fill(&self, slots: u32) -> f64 {
        let needed = self.load.needed_slots.load(Ordering::Relaxed);
        f64::from(needed) / f64::from(slots.max(1))
    }

    /// How soon and how often doubted targets are tried out; none if not at all.
    fn pace(&self, repeatable: bool, set: &[(f64, usize)]) -> Option<TrialPace> {
        let fill = self.fill_of(set);
        let is_short = fill > SHORT_FILL;
        if fill > OVERLOAD_FILL || (repeatable && is_short) {
            return Some(EAGER_PACE);
        }
        if self.load.degraded.load(Ordering::Relaxed) {
            return Some(STRAINED_PACE);
        }
        (repeatable || is_short).then_some(USUAL_PACE)
    }

    /// A doubted target to try out, if this request is one that does so.
    fn trial(
        &self,
        suspect: &[(f64, usize)],
        pace: TrialPace,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let ripe = suspect
            .iter()
            .filter(|(failure_probability, _)| *failure_probability <= pace.failure_probability);
        let idle = |at: &usize| self.candidates[*at].load.in_flight() == 0;
        let ripe: Vec<usize> = ripe.map(|(_, at)| *at).filter(idle).collect();
        let rate_milli = self.load.fleet_rate_milli.load(Ordering::Relaxed).max(1);
        let share = pace.trials_per_s * 1e3 * ripe.len() as f64 / rate_milli as f64;
        // Any of them, since all instances rank them alike and would try out the same one.
        (!ripe.is_empty() && rng.random_bool(share.min(MOST_TRIED)))
            .then(|| ripe[rng.random_range(0..ripe.len())])
    }

    /// Those of a working set that a request goes to: the nearby ones for as
    /// many requests as they can carry.
    fn near(&self, set: &[(f64, usize)], rng: &mut impl Rng) -> Vec<usize> {
        let is_near = |at: &usize| self.candidates[*at].is_local;
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
            / (1.0 - load.failure_probability(now_us)).max(0.01)
    }
}
