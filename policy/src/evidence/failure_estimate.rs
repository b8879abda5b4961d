//! The probability that a target fails right now.
//!
//! For faults that last seconds and come to each target alone: one reset weighs
//! so much that it decides, and a target left alone is believed again as time
//! passes. Each signal multiplies the odds by how much more often a failing
//! target shows it than a good one.

use serde::Deserialize;
use serde::Serialize;

/// What speaks for or against a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signal {
    /// A connection was reset, refused, or its answer malformed.
    Reset,
    /// The target answered that it failed.
    Error,
    /// No answer came in the time in which nearly all others come.
    Overdue,
    /// The target answered well.
    Good,
}

/// Probability for a target that nothing speaks against.
pub const BASE_FAILURE_PROBABILITY: f64 = 0.03;
/// Probability that no signal goes beyond, so that good ones count soon.
const HIGHEST: f64 = 0.97;
/// Odds of a reset at a failing target against a good one: 0.85 to 0.002 in the
/// trials of the platform's design page.
const RESET_ODDS: f64 = 400.0;
/// Odds of an error answer: half of the answers of a failing target to 0.012,
/// and failing in this way is rarer.
const ERROR_ODDS: f64 = 10.0;
/// Odds of an overdue answer: slow or hanging half of the time to 0.03, and less
/// as a loaded service is overdue as a whole. One error or overdue answer alone
/// takes no target out: one in 50 answers of good targets is such a one.
const OVERDUE_ODDS: f64 = 8.0;
/// Odds of a good answer: 0.1 to 0.99.
const GOOD_ODDS: f64 = 0.1;
/// Time in which a doubt falls to 1/e, in microseconds: faults last 5 to 13 s.
const FADE_US: f64 = 8_000_000.0;

/// A probability at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureEstimate {
    level: f64,
    at_us: u64,
}

impl Default for FailureEstimate {
    fn default() -> Self {
        Self {
            level: BASE_FAILURE_PROBABILITY,
            at_us: 0,
        }
    }
}

impl FailureEstimate {
    /// A probability known at `at_us`.
    pub fn new(level: f64, at_us: u64) -> Self {
        Self { level, at_us }
    }

    /// The probability now.
    pub fn at(&self, now_us: u64) -> f64 {
        if self.level <= BASE_FAILURE_PROBABILITY {
            return self.level;
        }
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        BASE_FAILURE_PROBABILITY
            + (self.level - BASE_FAILURE_PROBABILITY) * (-age_us / FADE_US).exp()
    }

    /// The probability after a signal.
    pub fn after(&self, now_us: u64, signal: Signal) -> Self {
        let before = self.at(now_us);
        let factor = match signal {
            Signal::Reset => RESET_ODDS,
            Signal::Error => ERROR_ODDS,
            Signal::Overdue => OVERDUE_ODDS,
            Signal::Good => GOOD_ODDS,
        };
        let odds = before / (1.0 - before) * factor;
        let level = (odds / (1.0 + odds)).clamp(BASE_FAILURE_PROBABILITY, HIGHEST);
        Self {
            level,
            at_us: now_us,
        }
    }
}
