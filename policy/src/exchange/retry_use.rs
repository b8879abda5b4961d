//! How much of the retry budget a request with a priority may use.
//!
//! The last of the budget is left to the most urgent requests of their service. Whether a refused
//! caller comes back is not known, so that no retry is withheld because it could. Requests without a
//! priority use the budget in the order in which they come.

use super::Exchange;

/// Share of the budget that is left to the most urgent requests of a service.
const KEPT_FOR_URGENT: f64 = 1.0 / 3.0;

impl Exchange {
    /// Share of the budget that a retry of this request leaves to others.
    pub(super) fn kept_share_of_retries(&self) -> f64 {
        let priorities = &self.table.load.priorities;
        match self.request.priority {
            Some(priority) if !priorities.is_most_urgent(priority) => KEPT_FOR_URGENT,
            _ => 0.0,
        }
    }

    /// Takes a retry as far as the urgency of the request allows.
    pub(super) fn take_retry_for_urgency(&self) -> bool {
        let kept_share = self.kept_share_of_retries();
        self.table.load.retries.take_above(kept_share)
    }

    /// Share of the budget that a hedge leaves to others.
    pub(super) fn kept_share_of_hedges(&self) -> f64 {
        match self.request.priority {
            Some(_) => KEPT_FOR_URGENT,
            None => 0.0,
        }
    }

    /// Time within which a response is of use to the caller, in microseconds: until the latency
    /// objective while it can be met, and until the deadline otherwise.
    pub(super) fn caller_left_us(&self, now_us: u64) -> u64 {
        let deadline_left_us = self.request.caller_deadline_us.saturating_sub(now_us);
        let objective_left_us = self
            .request
            .objective_us
            .map(|objective_us| (self.request.began_us + objective_us).saturating_sub(now_us))
            .filter(|left_us| *left_us > self.table.median_us());
        objective_left_us.map_or(deadline_left_us, |left_us| left_us.min(deadline_left_us))
    }
}
