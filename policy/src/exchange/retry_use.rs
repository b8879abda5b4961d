//! How much of the retry budget a request with a priority may use.
//!
//! A caller that is refused comes back as a new request, whose first attempt draws on no budget. If
//! a target refuses whatever its load, that has the same chance of success as a retry, and costs the
//! caller only the time to connect again. The last of the budget is therefore left to requests whose
//! callers have no time to come back, and the very last to the most urgent ones of their service.
//! Requests without a priority use the budget in the order in which they come.

use super::Exchange;
use super::Failure;
use super::RetryDenial;

/// Time that a refused caller loses until its next request reaches a target, in microseconds: the
/// Retry-After, the connection, and two round trips of 16 ms.
const COME_BACK_US: u64 = 120_000;
/// Share of the budget that is left to the most urgent requests of a service.
const KEPT_FOR_URGENT: f64 = 1.0 / 3.0;
/// Share of the budget that is left to requests whose callers cannot come back.
const KEPT_FOR_LATE: f64 = 2.0 / 3.0;

/// What a retry is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryUse {
    /// The request may use the whole budget.
    Urgent,
    /// A request of its service may be more urgent.
    LessUrgent,
    /// The caller has time to come back by itself.
    Dispensable,
}

impl RetryUse {
    /// Share of the budget that is left to others.
    pub(super) fn kept_share(self) -> f64 {
        match self {
            Self::Urgent => 0.0,
            Self::LessUrgent => KEPT_FOR_URGENT,
            Self::Dispensable => KEPT_FOR_LATE,
        }
    }

    /// Why no retry was used if the budget has none to give.
    pub(super) fn denial(self) -> RetryDenial {
        match self {
            Self::Dispensable => RetryDenial::CanComeBack,
            Self::Urgent | Self::LessUrgent => RetryDenial::NoBudget,
        }
    }

    /// Whether a peer may be asked for a retry.
    pub(super) fn may_borrow(self) -> bool {
        self != Self::Dispensable
    }
}

impl Exchange {
    /// What a retry after a failure is used for.
    pub(super) fn use_of_retry(&self, now_us: u64, failure: Failure) -> RetryUse {
        let is_refused_with_free_slots =
            failure == Failure::Refused && !self.may_have_run && !self.table.is_full(now_us);
        if self.request.priority.is_some()
            && is_refused_with_free_slots
            && self.can_come_back(now_us)
        {
            return RetryUse::Dispensable;
        }
        self.use_by_urgency()
    }

    fn use_by_urgency(&self) -> RetryUse {
        let priorities = &self.table.load.priorities;
        match self.request.priority {
            Some(priority) if !priorities.is_most_urgent(priority) => RetryUse::LessUrgent,
            _ => RetryUse::Urgent,
        }
    }

    /// Takes a retry as far as the urgency of the request allows.
    pub(super) fn take_retry_for_urgency(&self) -> bool {
        let kept_share = self.use_by_urgency().kept_share();
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

    /// Whether the caller can send the request again and get a response in time.
    fn can_come_back(&self, now_us: u64) -> bool {
        let objective_us = self.request.objective_us;
        let response_us = self.table.response_time_us(objective_us);
        let response_us = objective_us.map_or(response_us, |time_us| response_us.min(time_us / 2));
        self.caller_left_us(now_us) >= COME_BACK_US + response_us
    }
}
