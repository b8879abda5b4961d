//! The wait of a request for a token, up to its end.

use super::QuotaDecision;

/// Longest wait for a token, in microseconds.
const MAX_WAIT_US: u64 = 200_000;
/// Time after which an unanswered request for a token is repeated, in microseconds: the answer is
/// lost, or the owner is throttled, for up to 100 ms.
const REPEAT_US: u64 = 60_000;

/// What a request does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// It is sent.
    Proceed,
    /// It asks the owner and decides again at an answer, or at this time without one.
    Ask {
        /// The time, in microseconds.
        until_us: u64,
    },
    /// It decides again at this time.
    Pause {
        /// The time, in microseconds.
        until_us: u64,
    },
    /// It is refused.
    Refuse {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The wait of one request.
#[derive(Clone, Copy, Debug)]
pub struct QuotaWait {
    ends_us: u64,
}

impl QuotaWait {
    /// Begins the wait of a request with a deadline.
    pub fn new(now_us: u64, deadline_us: u64) -> Self {
        Self {
            ends_us: (now_us + MAX_WAIT_US).min(deadline_us),
        }
    }

    /// Decides what follows from a decision of the gate.
    pub fn next(&self, now_us: u64, decision: QuotaDecision) -> QuotaStep {
        match decision {
            QuotaDecision::Admitted { .. } => QuotaStep::Proceed,
            QuotaDecision::Ask { retry_after_ms } if now_us >= self.ends_us => {
                QuotaStep::Refuse { retry_after_ms }
            }
            QuotaDecision::Ask { .. } => QuotaStep::Ask {
                until_us: (now_us + REPEAT_US).min(self.ends_us),
            },
            QuotaDecision::Refused { retry_after_ms } => {
                let until_us = now_us + retry_after_ms * 1_000;
                match until_us < self.ends_us {
                    true => QuotaStep::Pause { until_us },
                    false => QuotaStep::Refuse { retry_after_ms },
                }
            }
        }
    }
}
