//! Targets of one service as the request path reads them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::configuration::Repeat;
use model::configuration::Service;

use super::Candidate;
use super::ServiceLoad;
use super::Subset;
use crate::evidence::LatencyProfile;

/// Share of the responses that may take longer than the response time of a service.
const LATE_RESPONSE_SHARE: f64 = 0.1;

/// How a target is chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoiceStrategy {
    /// By the health that the targets' owners have decided on.
    #[default]
    HealthState,
    /// By the failure probability of each target and the load of the service.
    FailureProbability,
}

/// A service and the targets that its requests may go to.
#[derive(Clone, Debug)]
pub struct ServiceTable {
    /// The service.
    pub service: Arc<Service>,
    /// Counters of the service.
    pub load: Arc<ServiceLoad>,
    /// Targets in use, after the floor is enforced.
    pub candidates: Vec<Candidate>,
    /// Strategy by which a candidate is chosen.
    pub choice_strategy: ChoiceStrategy,
    /// Targets that this instance prefers; `None` if it uses all.
    pub subset: Option<Subset>,
}

impl ServiceTable {
    /// Whether a request of the service may be sent more than once.
    pub fn is_repeatable(&self) -> bool {
        self.service.repeat == Repeat::Idempotent
    }

    /// Median latency in microseconds; 0 while unknown.
    pub fn median_us(&self) -> u64 {
        self.load.median_us.load(Ordering::Relaxed)
    }

    /// Latency beyond which a response is slow, in microseconds; `None` while unknown.
    pub fn slow_us(&self) -> Option<u64> {
        let slow_us = self.load.slow_us.load(Ordering::Relaxed);
        (slow_us > 0).then_some(slow_us)
    }

    /// Latency distribution of a route's responses, assumed from its objective while none is known;
    /// `None` if targets are chosen by health state.
    pub fn latency_profile(&self, objective_us: Option<u64>) -> Option<LatencyProfile> {
        if self.choice_strategy == ChoiceStrategy::HealthState {
            return None;
        }
        let measured = self.load.latency_profile();
        measured.or_else(|| objective_us.map(LatencyProfile::assumed_for))
    }

    /// Time within which most targets respond to a request with the given latency objective, in
    /// microseconds; 0 while nothing is known.
    pub fn response_time_us(&self, objective_us: Option<u64>) -> u64 {
        let profile = self.latency_profile(objective_us);
        let expected_us = profile.map(|profile| profile.time_exceeded_by(LATE_RESPONSE_SHARE));
        expected_us
            .or_else(|| self.slow_us())
            .or(objective_us)
            .unwrap_or(0)
    }

    /// Whether a target that is chosen from now on can respond by `limit_us`.
    pub fn can_respond_by(&self, now_us: u64, limit_us: u64, objective_us: Option<u64>) -> bool {
        let pause_left_us = self.pause_left_us(now_us).unwrap_or(0);
        now_us + pause_left_us + self.response_time_us(objective_us) <= limit_us
    }

    /// Whether the instances lend each other retries to the service.
    pub fn shares_retries(&self) -> bool {
        self.choice_strategy == ChoiceStrategy::FailureProbability
    }

    /// The candidates that requests may be sent to, each with its index. Targets that leave by their
    /// own word are among them only while no healthy one stays.
    pub fn usable(&self, now_us: u64) -> impl Iterator<Item = (usize, &Candidate)> {
        let avoids_leaving = self.candidates.iter().any(|candidate| {
            let stays = !candidate.load.is_leaving() && !candidate.load.is_closed(now_us);
            stays && candidate.is_healthy(now_us)
        });
        let candidates = self.candidates.iter().enumerate();
        candidates.filter(move |(_, candidate)| {
            let is_avoided = avoids_leaving && candidate.load.is_leaving();
            !is_avoided && !candidate.load.is_closed(now_us)
        })
    }

    /// Whether requests may be sent to a candidate.
    pub fn is_usable(&self, now_us: u64, index: usize) -> bool {
        let load = &self.candidates[index].load;
        match load.is_leaving() {
            true => self.usable(now_us).any(|(usable, _)| usable == index),
            false => !load.is_closed(now_us),
        }
    }

    /// Number of waiting requests that can be sent or refused now: one for each target with room,
    /// or all if there is no target to wait for, or none that can respond before the last answers
    /// of an instance that shuts down.
    pub fn decidable(&self, now_us: u64, waiting: usize, last_answers_us: Option<u64>) -> usize {
        if last_answers_us.is_some_and(|limit_us| !self.can_respond_by(now_us, limit_us, None)) {
            return waiting;
        }
        let mut usable = self.usable(now_us).peekable();
        if usable.peek().is_none() {
            return waiting;
        }
        usable
            .filter(|(_, candidate)| candidate.load.has_room(now_us))
            .count()
    }

    /// Slots of the candidates that requests may be sent to.
    pub fn slots(&self, now_us: u64) -> u32 {
        self.usable(now_us)
            .map(|(_, candidate)| candidate.target.slots)
            .sum()
    }
}
