//! The choice of a target for one request.
//!
//! Idempotent work takes the cheaper of two random candidates, which spreads
//! it without sharing in-flight counts. Work that may not be repeated goes to
//! the candidates of the best standing only.

use rand::Rng;
use rand::RngExt;

use super::Candidate;
use super::Placement;
use super::ServiceTable;
use super::Slot;
use crate::evidence::HealthState;

/// Share of idempotent requests that look at a target on trial.
const TRIAL_SHARE: f64 = 0.05;

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Time in which an answer is of use, in microseconds.
    pub left_us: u64,
    /// The candidates that it was sent to.
    pub tried: &'a [usize],
}

/// What the choice came to.
#[derive(Debug)]
pub enum Choice {
    /// Send to the candidate with this index; the slot is taken.
    Target(usize, Slot),
    /// All candidates are at their limits.
    Busy,
    /// There is no candidate.
    Nothing,
}

impl ServiceTable {
    /// Chooses a target other than those that were tried.
    pub fn choose(&self, now_us: u64, need: Need<'_>, rng: &mut impl Rng) -> Choice {
        let repeatable = need.repeatable;
        let fresh = |at: &usize| !need.tried.contains(at);
        let open: Vec<usize> = (0..self.candidates.len())
            .filter(fresh)
            .filter(|at| !self.candidates[*at].load.is_closed())
            .filter(|at| repeatable || self.candidates[*at].health != HealthState::Trial)
            .collect();
        if open.is_empty() {
            return Choice::Nothing;
        }
        let mut free: Vec<usize> = open
            .into_iter()
            .filter(|at| self.candidates[*at].load.has_room(now_us))
            .collect();
        while !free.is_empty() {
            let at = match (self.placement, repeatable) {
                (Placement::FailureProbability, _) => {
                    self.choose_by_failure_probability(now_us, need, &free, rng)
                }
                (Placement::HealthState, true) => self.choose_repeatable(now_us, &free, rng),
                (Placement::HealthState, false) => self.choose_once(now_us, &free, rng),
            };
            if let Some(slot) = self.candidates[at].load.take(now_us) {
                return Choice::Target(at, slot);
            }
            free.retain(|other| *other != at);
        }
        Choice::Busy
    }

    fn choose_repeatable(&self, now_us: u64, free: &[usize], rng: &mut impl Rng) -> usize {
        let on_trial = |at: &&usize| self.candidates[**at].health == HealthState::Trial;
        let trial = free.iter().find(on_trial);
        if let Some(at) = trial
            && self.candidates[*at].load.in_flight() == 0
            && rng.random_bool(TRIAL_SHARE)
        {
            return *at;
        }
        let regular: Vec<usize> = free.iter().filter(|at| !on_trial(at)).copied().collect();
        let pool = if regular.is_empty() { free } else { &regular };
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        self.cheaper(now_us, first, second)
    }

    fn choose_once(&self, now_us: u64, free: &[usize], rng: &mut impl Rng) -> usize {
        let rank = |at: &usize| self.candidates[*at].rank();
        let best = free.iter().map(rank).min().unwrap_or(0);
        let pool: Vec<usize> = free.iter().copied().filter(|at| rank(at) == best).collect();
        let first = pool[rng.random_range(0..pool.len())];
        let second = pool[rng.random_range(0..pool.len())];
        self.cheaper(now_us, first, second)
    }

    fn cheaper(&self, now_us: u64, first: usize, second: usize) -> usize {
        let median_us = self.median_us();
        let cost = |at: usize| Candidate::cost(&self.candidates[at], now_us, median_us);
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
    }
}
