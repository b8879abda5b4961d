//! Chooses targets by failure probability and by the load of the service.
//!
//! This handles faults that affect single targets for some seconds, with a third of the targets
//! failing at any time. A target is healthy here if its failure probability is low, and suspect
//! otherwise, whatever its owners have decided. Requests go to the healthy targets. If these are
//! full, they refuse the excess themselves, which loses fewer requests than sending it to targets
//! that fail nearly all requests. Suspect targets get single trial requests at a rate that is
//! bounded for all instances together: repeatable requests at any time, others only while capacity
//! is scarce or the service is degraded. The failure probability of a target without requests
//! decays with time.

use std::cmp::Reverse;
use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Candidate;
use super::ChoiceParams;
use super::ServiceTable;
use super::Slot;
use super::Subset;
use super::load::MAX_HEALTHY_PROBABILITY;

/// Failure probability of a target without recent signs of failure: reached 4 s after an overdue
/// report that is not revoked.
const MAX_UNREMARKABLE_PROBABILITY: f64 = 0.1;
/// Normal trials: from about 5 s after a reset, the duration of the shortest faults.
const NORMAL_TRIALS: TrialPolicy = TrialPolicy {
    max_failure_probability: 0.52,
    trials_per_s: 1.0,
};
/// Trials from about 2 s after a reset: by repeatable requests while capacity is scarce, as a
/// failed one costs only a retry, and by all requests while the targets are overloaded.
const EAGER_TRIALS: TrialPolicy = TrialPolicy {
    max_failure_probability: 0.75,
    trials_per_s: 2.0,
};
/// Trials while many requests fail, so that recovered targets get requests within the 2 s in which
/// the floor has to hold. Only some of the instances observe the failures and send these trials.
const DEGRADED_TRIALS: TrialPolicy = TrialPolicy {
    max_failure_probability: 0.55,
    trials_per_s: 2.0,
};
/// Share of the targets that may work by which the healthy ones have to exceed the floor, as not
/// each of them gets requests in every two seconds.
const FLOOR_MARGIN: f64 = 0.1;
/// Largest share of requests that are trials: as many as the retry budget can retry.
const MAX_TRIAL_SHARE: f64 = 0.2;
/// Share of a service's slots that stays in use if no target is healthy.
const MIN_WORKING_SHARE: f64 = 0.2;
/// Utilization of the slots in use above which capacity is scarce.
const SCARCE_UTILIZATION: f64 = 0.75;
/// Utilization above which requests queue at the targets until they miss their deadlines. A
/// recovered target then serves more requests than its trials lose.
const OVERLOAD_UTILIZATION: f64 = 0.95;
/// Mean latency, as a share of the remaining time, above which a repeatable request tries a
/// suspect target first: a reset costs it a few milliseconds, queueing nearly all of its time.
const LATE_SHARE: f64 = 0.6;
/// Utilization of the local data centre's targets above which remote ones are used too.
const LOCAL_UTILIZATION: f64 = 0.6;
/// Healthy targets of a subset below which all targets are used. With three tenths of the targets
/// failing, the targets of a smaller set would get all requests of several instances.
const MIN_HEALTHY_IN_SUBSET: usize = 3;

/// When and how often suspect targets get trial requests.
#[derive(Clone, Copy, Debug)]
struct TrialPolicy {
    /// Failure probability up to which a target gets trials.
    max_failure_probability: f64,
    /// Trials per second of one target, over all instances.
    trials_per_s: f64,
}

impl ServiceTable {
    pub(super) fn choose_by_failure_probability(
        &self,
        now_us: u64,
        choice_params: ChoiceParams<'_>,
        free: &[usize],
        rng: &mut impl Rng,
    ) -> usize {
        let mut ranked: Vec<(f64, usize)> = free
            .iter()
            .map(|index| {
                (
                    self.candidates[*index].load.failure_probability(now_us),
                    *index,
                )
            })
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (healthy, suspect) = ranked.split_at(self.working_set_len(now_us, &ranked));
        // During an overload, permits limit the queues, so a healthy target is tried first.
        if choice_params.repeatable
            && choice_params.tried.is_empty()
            && !self.load.overload.is_overloaded()
            && self.would_be_late(choice_params.left_us)
            && let Some(index) = self.least_suspect_idle(suspect)
        {
            return index;
        }
        // A retry is worth too much for a trial.
        let is_retry = !choice_params.tried.is_empty();
        let trial_policy = self.trial_policy(choice_params.repeatable, healthy, suspect);
        if let Some(trial_policy) = trial_policy.filter(|_| !is_retry)
            && let Some(index) = self.choose_trial(suspect, trial_policy, rng)
        {
            return index;
        }
        let healthy = match choice_params.repeatable {
            true => healthy,
            false => self.least_suspect(healthy),
        };
        if let Some(subset) = &self.subset {
            let index = self.choose_in_subset(now_us, subset, healthy, free, rng);
            let load = &self.load;
            let count = match index {
                Some(_) => &load.sent_within_subset,
                None => &load.sent_outside_subset,
            };
            count.fetch_add(1, Ordering::Relaxed);
            if let Some(index) = index {
                return index;
            }
        }
        let pool = if self.utilization_of(healthy) > SCARCE_UTILIZATION {
            healthy.iter().map(|(_, index)| *index).collect()
        } else {
            self.local_or_remote(healthy, rng)
        };
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        if self.cost(now_us, second) < self.cost(now_us, first) {
            second
        } else {
            first
        }
    }

    /// The healthy targets without recent signs of failure, and as many of the others as the load
    /// needs. A single silent attempt leaves a target healthy, but a request that can be sent only
    /// once has better targets to go to.
    fn least_suspect<'a>(&self, healthy: &'a [(f64, usize)]) -> &'a [(f64, usize)] {
        let is_unremarkable =
            |failure_probability: f64| failure_probability < MAX_UNREMARKABLE_PROBABILITY;
        let unremarkable =
            healthy.partition_point(|(probability, _)| is_unremarkable(*probability));
        let mut len = unremarkable.max(1);
        while len < healthy.len() && self.utilization_of(&healthy[..len]) > SCARCE_UTILIZATION {
            len += 1;
        }
        &healthy[..len]
    }

    /// Whether the mean latency, by Little's law, is too long for a request with `left_us` left.
    fn would_be_late(&self, left_us: u64) -> bool {
        let slots = f64::from(self.load.needed_slots.load(Ordering::Relaxed));
        let rate_milli = self.load.fleet_rate_milli.load(Ordering::Relaxed).max(1);
        let latency_us = slots * 1e9 / rate_milli as f64;
        latency_us > LATE_SHARE * left_us as f64
    }

    /// The idle target of lowest failure probability among those that may have recovered.
    fn least_suspect_idle(&self, suspect: &[(f64, usize)]) -> Option<usize> {
        let idle = |index: &usize| self.candidates[*index].load.in_flight() == 0;
        let eligible = suspect.iter().filter(|(failure_probability, _)| {
            *failure_probability <= EAGER_TRIALS.max_failure_probability
        });
        eligible.map(|(_, index)| *index).find(idle)
    }

    /// Number of targets in the working set; `ranked` is sorted by failure probability.
    fn working_set_len(&self, now_us: u64, ranked: &[(f64, usize)]) -> usize {
        let is_any_healthy = ranked.first().is_some_and(|(failure_probability, _)| {
            *failure_probability <= MAX_HEALTHY_PROBABILITY
        });
        let min_slots = match is_any_healthy {
            true => 0,
            false => (f64::from(self.slots(now_us)) * MIN_WORKING_SHARE) as u32,
        };
        let mut slots = 0;
        let mut len = 0;
        for (failure_probability, index) in ranked {
            if *failure_probability > MAX_HEALTHY_PROBABILITY && slots >= min_slots && len > 0 {
                break;
            }
            slots += self.candidates[*index].target.slots;
            len += 1;
        }
        len
    }

    /// Whether the load fills the healthy targets.
    pub fn is_full(&self, now_us: u64) -> bool {
        let healthy = self.healthy(now_us);
        self.utilization(healthy.map(|candidate| candidate.target.slots).sum()) > SCARCE_UTILIZATION
    }

    /// Slots of the healthy targets.
    pub fn healthy_slots(&self, now_us: u64) -> u32 {
        let healthy = self.healthy(now_us);
        healthy.map(|candidate| candidate.target.slots).sum()
    }

    /// Whether a request to a candidate needs a permit: all do if the target has a rate limit, or
    /// while the service is overloaded, except trials while there are healthy targets.
    pub fn needs_permit(&self, now_us: u64, index: usize) -> bool {
        if self.is_limited(index) {
            return true;
        }
        let is_trial = || {
            self.candidates[index].load.failure_probability(now_us) > MAX_HEALTHY_PROBABILITY
                && self.healthy(now_us).next().is_some()
        };
        self.load.overload.is_overloaded() && !is_trial()
    }

    /// Whether a candidate has named a rate limit.
    pub fn is_limited(&self, index: usize) -> bool {
        self.candidates[index].load.rate_limit_milli().is_some()
    }

    /// Time until the first target takes requests again, in microseconds, if all are paused;
    /// `None` otherwise.
    pub fn pause_left_us(&self, now_us: u64) -> Option<u64> {
        let usable = self.usable(now_us);
        let until_us = usable
            .map(|(_, candidate)| candidate.load.paused_until_us())
            .min();
        let left_us = until_us?.saturating_sub(now_us);
        (left_us > 0).then_some(left_us)
    }

    /// Slots of the healthy targets that their rate limits allow to be used, if a request takes
    /// `work_s` seconds.
    pub fn usable_slots(&self, now_us: u64, work_s: f64) -> u32 {
        let usable = |candidate: &Candidate| {
            let slots = candidate.target.slots;
            let limit_milli = candidate.load.rate_limit_milli();
            limit_milli.map_or(slots, |limit_milli| {
                let limited = f64::from(limit_milli) / 1e3 * work_s;
                slots.min(limited.ceil() as u32)
            })
        };
        self.healthy(now_us).map(usable).sum()
    }

    /// Chooses another target for a request that was denied a permit: a random healthy one. If none
    /// is available, a repeatable request goes to an idle suspect target that may have recovered;
    /// any other request does so only as a trial at the bounded rate.
    pub fn choose_after_denial(
        &self,
        now_us: u64,
        choice_params: ChoiceParams<'_>,
        denied: &[usize],
        rng: &mut impl Rng,
    ) -> Option<(usize, Slot)> {
        let is_available = |(index, candidate): &(usize, &Candidate)| {
            !denied.contains(index)
                && !choice_params.tried.contains(index)
                && candidate
                    .load
                    .has_room_for(now_us, choice_params.body_bytes)
        };
        let available = self.usable(now_us).filter(is_available);
        let available =
            available.map(|(index, candidate)| (candidate.load.failure_probability(now_us), index));
        let (mut suspect, healthy): (Vec<_>, Vec<_>) = available
            .partition(|(failure_probability, _)| *failure_probability > MAX_HEALTHY_PROBABILITY);
        suspect.sort_by(|a, b| a.0.total_cmp(&b.0));
        let index = match healthy.iter().choose(rng) {
            Some((_, index)) => Some(*index),
            None if choice_params.repeatable => self.least_suspect_idle(&suspect),
            None => self.choose_trial(&suspect, EAGER_TRIALS, rng),
        };
        let index = index?;
        let load = &self.candidates[index].load;
        Some((index, load.take_for(now_us, choice_params.body_bytes)?))
    }

    /// The healthy targets.
    fn healthy(&self, now_us: u64) -> impl Iterator<Item = &Candidate> {
        let usable = self.usable(now_us).map(|(_, candidate)| candidate);
        usable.filter(move |candidate| candidate.load.is_healthy(now_us))
    }

    /// Utilization of a set of targets if it carries all of the load.
    fn utilization_of(&self, set: &[(f64, usize)]) -> f64 {
        let slots = set
            .iter()
            .map(|(_, index)| self.candidates[*index].target.slots);
        self.utilization(slots.sum())
    }

    /// Utilization of this number of slots if they carry all of the load.
    fn utilization(&self, slots: u32) -> f64 {
        let needed_slots = self.load.needed_slots.load(Ordering::Relaxed);
        f64::from(needed_slots) / f64::from(slots.max(1))
    }

    /// The trial policy in effect; `None` if the request is not used for trials.
    fn trial_policy(
        &self,
        repeatable: bool,
        healthy: &[(f64, usize)],
        suspect: &[(f64, usize)],
    ) -> Option<TrialPolicy> {
        let utilization = self.utilization_of(healthy);
        let is_scarce = utilization > SCARCE_UTILIZATION;
        if utilization > OVERLOAD_UTILIZATION || (repeatable && is_scarce) {
            return Some(EAGER_TRIALS);
        }
        if self.load.degraded.load(Ordering::Relaxed) {
            let is_spared = !repeatable && self.load.priorities.is_set();
            let keeps_floor = is_spared && self.keeps_floor(healthy, suspect);
            return (!keeps_floor).then_some(DEGRADED_TRIALS);
        }
        (repeatable || is_scarce).then_some(NORMAL_TRIALS)
    }

    /// Whether the healthy targets alone are enough of those that may have recovered. A command then
    /// need not try any of these, as nearly half of such trials are lost.
    fn keeps_floor(&self, healthy: &[(f64, usize)], suspect: &[(f64, usize)]) -> bool {
        let is_eligible = |(failure_probability, _): &&(f64, usize)| {
            *failure_probability <= DEGRADED_TRIALS.max_failure_probability
        };
        let may_have_recovered = suspect.iter().filter(is_eligible).count();
        let share = healthy.len() as f64 / (healthy.len() + may_have_recovered).max(1) as f64;
        share >= self.service.floor_share + FLOOR_MARGIN
    }

    /// Decides at random whether this request is a trial; returns the suspect target to try.
    fn choose_trial(
        &self,
        suspect: &[(f64, usize)],
        trial_policy: TrialPolicy,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let eligible = suspect.iter().filter(|(failure_probability, _)| {
            *failure_probability <= trial_policy.max_failure_probability
        });
        let idle = |index: &usize| self.candidates[*index].load.in_flight() == 0;
        let eligible: Vec<usize> = eligible.map(|(_, index)| *index).filter(idle).collect();
        let rate_milli = self.load.fleet_rate_milli.load(Ordering::Relaxed).max(1);
        let share = trial_policy.trials_per_s * 1e3 * eligible.len() as f64 / rate_milli as f64;
        // A random target, as all instances rank the targets alike and would otherwise try the
        // same one.
        (!eligible.is_empty() && rng.random_bool(share.min(MAX_TRIAL_SHARE)))
            .then(|| eligible[rng.random_range(0..eligible.len())])
    }

    /// The cheapest of the half of the subset's idle targets that were chosen longest ago, so that
    /// each of them gets requests in turn. Returns `None` if all targets should be considered: if the
    /// subset has fewer than [`MIN_HEALTHY_IN_SUBSET`] healthy ones, or none of them is idle by the
    /// instance's own count, as an instance with more callers than others would overload them.
    fn choose_in_subset(
        &self,
        now_us: u64,
        subset: &Subset,
        healthy: &[(f64, usize)],
        free: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let (max_probability, _) = healthy.last()?;
        let preferred = match self.prefers_local(healthy, rng) {
            true => &subset.local,
            false => &subset.remote,
        };
        let is_eligible = |index: &usize| {
            let load = &self.candidates[*index].load;
            free.binary_search(index).is_ok()
                && load.failure_probability(now_us) <= *max_probability
        };
        // The slots of a target are adjacent.
        let targets = preferred.chunk_by(|a, b| a == b);
        let eligible: Vec<&[usize]> = targets.filter(|slots| is_eligible(&slots[0])).collect();
        if eligible.len() < MIN_HEALTHY_IN_SUBSET {
            return None;
        }
        let idle = eligible.iter().filter_map(|slots| {
            let index = slots[0];
            let load = &self.candidates[index].load;
            // A target with more slots in the subset has its turn more often.
            let turn_us = now_us.saturating_sub(load.chosen_us()) * slots.len() as u64;
            (load.in_flight() == 0).then_some((turn_us, index))
        });
        let mut idle: Vec<(u64, usize)> = idle.collect();
        // Targets that were never chosen are equal.
        idle.shuffle(rng);
        idle.sort_by_key(|(turn_us, _)| Reverse(*turn_us));
        idle.truncate(idle.len().div_ceil(2));
        let cost = |index: usize| self.cost(now_us, index);
        let indexes = idle.into_iter().map(|(_, index)| index);
        let index = indexes.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
        self.candidates[index].load.record_choice(now_us);
        Some(index)
    }

    /// Targets of a working set in the local data centre, or the remote ones for the share of
    /// requests that the local ones cannot carry.
    fn local_or_remote(&self, set: &[(f64, usize)], rng: &mut impl Rng) -> Vec<usize> {
        let is_local = |index: &usize| self.candidates[*index].is_local;
        let is_preferred_local = self.prefers_local(set, rng);
        let indexes = set.iter().map(|(_, index)| *index);
        indexes
            .filter(|index| is_local(index) == is_preferred_local)
            .collect()
    }

    /// Whether a request goes to the local targets of a working set: a random decision if these
    /// cannot carry all requests of the data centre.
    fn prefers_local(&self, set: &[(f64, usize)], rng: &mut impl Rng) -> bool {
        let candidates = set.iter().map(|(_, index)| &self.candidates[*index]);
        let local = candidates.filter(|candidate| candidate.is_local);
        let (local, slots) = local.fold((0, 0), |(count, slots), candidate| {
            (count + 1, slots + candidate.target.slots)
        });
        if local == 0 || local == set.len() {
            return local > 0;
        }
        let needed_local_slots = self.load.local_slots.load(Ordering::Relaxed);
        let share = LOCAL_UTILIZATION * f64::from(slots) / f64::from(needed_local_slots.max(1));
        rng.random_bool(share.min(1.0))
    }

    fn cost(&self, now_us: u64, index: usize) -> f64 {
        let load = &self.candidates[index].load;
        let expected_us = load.expected_us(now_us, self.median_us()).max(1.0);
        expected_us * f64::from(load.in_flight() + 1)
            / (1.0 - load.failure_probability(now_us)).max(0.01)
    }
}
