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
    /// No response arrived within the time in which nearly all others do. An attempt may be
    /// overdue several times, each time [`OVERDUE_LIKELIHOOD_RATIO`] times less likely at a
    /// healthy target.
    Overdue,
    /// The response of an attempt that was overdue has arrived: takes back one such signal.
    OverdueRevoked,
    /// The target responded successfully.
    Good,
}

/// Failure probability of a target without evidence of failure.
pub const BASE_FAILURE_PROBABILITY: f64 = 0.03;
/// Upper limit of the estimate after a failure, so that good responses lower it soon.
const MAX_FAILURE_PROBABILITY: f64 = 0.97;
/// Upper limit of the estimate after overdue responses. It is higher, because one of them may
/// still be revoked while the others remain evidence.
const MAX_OVERDUE_PROBABILITY: f64 = 0.999;
/// Likelihood ratio of a reset: a failing target resets with probability 0.85, a
/// healthy one with 0.002, in trials for the users' platform.
const RESET_LIKELIHOOD_RATIO: f64 = 400.0;
/// Likelihood ratio of an error response: half of the responses of a failing target
/// against 0.012 of a healthy one, lowered because this kind of failure is rarer.
const ERROR_LIKELIHOOD_RATIO: f64 = 10.0;
/// Likelihood ratio of an overdue response. An attempt is reported when its silence is this
/// many times as likely at a hanging target as at a healthy one ([`overdue_share`]).
const OVERDUE_LIKELIHOOD_RATIO: f64 = 5.0;
/// Reports of one attempt as overdue: after the third, its target is very probably failing.
pub(crate) const MAX_OVERDUE_REPORTS: u8 = 3;
/// Share of the requests that a hanging target never answers.
pub const HANG_SHARE: f64 = 0.75;
/// Likelihood ratio of a good response: probability 0.15 to 0.25 for a failing target, 0.99 for
/// a healthy one.
const GOOD_LIKELIHOOD_RATIO: f64 = 0.25;
/// Time in which the excess over the base probability decays to 1/e, in microseconds;
/// faults last 5 to 13 s.
const DECAY_TIME_US: f64 = 8_000_000.0;

/// Share of a healthy target's responses that are still missing when an attempt becomes overdue
/// for the time after `reports` earlier ones.
pub(crate) fn overdue_share(reports: u8) -> f64 {
    HANG_SHARE / OVERDUE_LIKELIHOOD_RATIO.powi(i32::from(reports) + 1)
}

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
            Signal::OverdueRevoked => 1.0 / OVERDUE_LIKELIHOOD_RATIO,
            Signal::Good => GOOD_LIKELIHOOD_RATIO,
        };
        let odds = before / (1.0 - before) * likelihood_ratio;
        let limit = match signal {
            Signal::Overdue => MAX_OVERDUE_PROBABILITY,
            _ => before.max(MAX_FAILURE_PROBABILITY),
        };
        let probability = (odds / (1.0 + odds)).clamp(BASE_FAILURE_PROBABILITY, limit);
        Self {
            probability,
            updated_us: now_us,
        }
    }
}
