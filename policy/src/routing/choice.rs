//! Chooses the target of a request.
//!
//! By health state, an idempotent request goes to the cheaper of two random candidates, which
//! balances the load without sharing in-flight counts between instances. A request that may not be
//! repeated goes only to candidates of the best rank. The `working_set` module has the choice by
//! failure probability.

use rand::Rng;
use rand::RngExt;

use super::Candidate;
use super::ChoiceStrategy;
use super::ServiceTable;
use super::Slot;
use crate::evidence::HealthState;

/// Share of idempotent requests that go to a target on trial, if it is idle.
const TRIAL_SHARE: f64 = 0.05;

/// Properties of a request that decide the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceParams<'a> {
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// Time until the request's deadline, in microseconds.
    pub left_us: u64,
    /// Indexes of the candidates that the request was sent to already.
    pub tried: &'a [usize],
    /// Whether only targets without a rate limit are eligible, as no permit can be requested.
    pub only_unlimited: bool,
    /// Bytes for which the request's body counts.
    pub body_bytes: u64,
}

/// Result of the choice.
#[derive(Debug)]
pub enum Choice {
    /// The candidate with this index, and the slot acquired for the request.
    Target(usize, Slot),
    /// All candidates are at their limits or paused.
    AllBusy,
    /// There is no eligible candidate.
    NoTarget,
}

impl ServiceTable {
    /// Chooses a target that was not tried before, and acquires a slot there.
    pub fn choose(
        &self,
        now_us: u64,
        choice_params: ChoiceParams<'_>,
        rng: &mut impl Rng,
    ) -> Choice {
        let repeatable = choice_params.repeatable;
        let untried = |index: &usize| !choice_params.tried.contains(index);
        let usable = self.usable(now_us).map(|(index, _)| index);
        let open: Vec<usize> = usable
            .filter(untried)
            .filter(|index| repeatable || self.candidates[*index].health != HealthState::Trial)
            .filter(|index| {
                let load = &self.candidates[*index].load;
                !choice_params.only_unlimited || load.rate_limit_milli().is_none()
            })
            .collect();
        if open.is_empty() {
            return Choice::NoTarget;
        }
        let mut free: Vec<usize> = open
            .into_iter()
            .filter(|index| {
                self.candidates[*index]
                    .load
                    .has_room_for(now_us, choice_params.body_bytes)
            })
            .collect();
        while !free.is_empty() {
            let index = match (self.choice_strategy, repeatable) {
                (ChoiceStrategy::FailureProbability, _) => {
                    self.choose_by_failure_probability(now_us, choice_params, &free, rng)
                }
                (ChoiceStrategy::HealthState, true) => self.choose_repeatable(now_us, &free, rng),
                (ChoiceStrategy::HealthState, false) => {
                    self.choose_unrepeatable(now_us, &free, rng)
                }
            };
            if let Some(slot) = self.candidates[index]
                .load
                .take_for(now_us, choice_params.body_bytes)
            {
                return Choice::Target(index, slot);
            }
            free.retain(|other| *other != index);
        }
        Choice::AllBusy
    }

    fn choose_repeatable(&self, now_us: u64, free: &[usize], rng: &mut impl Rng) -> usize {
        let on_trial = |index: &&usize| self.candidates[**index].health == HealthState::Trial;
        let trial = free.iter().find(on_trial);
        if let Some(index) = trial
            && self.candidates[*index].load.in_flight() == 0
            && rng.random_bool(TRIAL_SHARE)
        {
            return *index;
        }
        let regular: Vec<usize> = free
            .iter()
            .filter(|index| !on_trial(index))
            .copied()
            .collect();
        let pool = if regular.is_empty() { free } else { &regular };
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        self.cheaper(now_us, first, second)
    }

    fn choose_unrepeatable(&self, now_us: u64, free: &[usize], rng: &mut impl Rng) -> usize {
        let rank = |index: &usize| self.candidates[*index].rank();
        let best = free.iter().map(rank).min().unwrap_or(0);
        let pool: Vec<usize> = free
            .iter()
            .copied()
            .filter(|index| rank(index) == best)
            .collect();
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        self.cheaper(now_us, first, second)
    }

    fn cheaper(&self, now_us: u64, first: usize, second: usize) -> usize {
        let median_us = self.median_us();
        let cost = |index: usize| Candidate::cost(&self.candidates[index], now_us, median_us);
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
    }
}
