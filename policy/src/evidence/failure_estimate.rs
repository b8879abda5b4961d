//! Estimate of the probability that a target is failing now.
//!
//! Intended for faults that last seconds and affect targets independently. A single
//! reset is conclusive, and a raised estimate decays with time, also while the target
//! receives no requests. Each signal multiplies the odds by its likelihood ratio: how
//! much more often a failing target produces it than a healthy one.

use serde::Deserialize;
use serde::Serialize;

/// Evidence from one request about whether its target is failing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signal {
    /// The connection was reset or refused, or the response was malformed.
    Reset,
    /// The target responded with an error.
    Error,
    /// No response arrived within the time in which nearly all others do.
    Overdue,
    /// The target responded successfully.
    Good,
}

/// Failure probability of a target without evidence of failure.
pub const BASE_FAILURE_PROBABILITY: f64 = 0.03;
/// Upper limit of the estimate, so that good responses lower it soon.
const MAX_FAILURE_PROBABILITY: f64 = 0.97;
/// Likelihood ratio of a reset: a failing target resets with probability 0.85, a
/// healthy one with 0.002, in trials for the users' platform.
const RESET_LIKELIHOOD_RATIO: f64 = 400.0;
/// Likelihood ratio of an error response: half of the responses of a failing target
/// against 0.012 of a healthy one, lowered because this kind of failure is rarer.
const ERROR_LIKELIHOOD_RATIO: f64 = 10.0;
/// Likelihood ratio of an overdue response: a failing target is slow or hangs half of
/// the time, a healthy one is overdue with probability 0.03; lowered because all
/// targets of a loaded service become overdue together. A single error or overdue
/// response does not exclude a target, as one in 50 responses of healthy targets is one.
const OVERDUE_LIKELIHOOD_RATIO: f64 = 8.0;
/// Likelihood ratio of a good response: probability 0.1 for a failing target, 0.99 for a
/// healthy one.
const GOOD_LIKELIHOOD_RATIO: f64 = 0.1;
/// Time in which the excess over the base probability decays to 1/e, in microseconds;
/// faults last 5 to 13 s.
const DECAY_TIME_US: f64 = 8_000_000.0;

/// A failure probability and the time of its last update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureEstimate {
    probability: f64,
    updated_us: u64,
}

impl Default for FailureEstimate {
    fn default() -> Self {
        Self {
            probability: BASE_FAILURE_PROBABILITY,
            updated_us: 0,
        }
    }
}

impl FailureEstimate {
    /// Creates an estimate with the given probability at `updated_us`.
    pub fn new(probability: f64, updated_us: u64) -> Self {
        Self {
            probability,
            updated_us,
        }
    }

    /// Returns the probability at `now_us`, after decay.
    pub fn at(&self, now_us: u64) -> f64 {
        if self.probability <= BASE_FAILURE_PROBABILITY {
            return self.probability;
        }
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        BASE_FAILURE_PROBABILITY
            + (self.probability - BASE_FAILURE_PROBABILITY) * (-age_us / DECAY_TIME_US).exp()
    }

    /// Returns the estimate after a signal.
    pub fn after(&self, now_us: u64, signal: Signal) -> Self {
        let before = self.at(now_us);
        let likelihood_ratio = match signal {
            Signal::Reset => RESET_LIKELIHOOD_RATIO,
            Signal::Error => ERROR_LIKELIHOOD_RATIO,
            Signal::Overdue => OVERDUE_LIKELIHOOD_RATIO,
            Signal::Good => GOOD_LIKELIHOOD_RATIO,
        };
        let odds = before / (1.0 - before) * likelihood_ratio;
        let probability =
            (odds / (1.0 + odds)).clamp(BASE_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY);
        Self {
            probability,
            updated_us: now_us,
        }
    }
}
