//! Sending a request to another target: after a failure, or as a hedge while its attempts wait.
//!
//! Each further attempt takes a retry from the budget of the service. If the instance has none
//! left, it borrows one from its peers, and uses it at once or not at all.

use rand::Rng;

use super::Exchange;
use super::Failure;
use super::Step;
use super::exchange::MAX_UNSENT_ATTEMPTS;
use super::silence::WaitingAttempt;
use super::silence::is_hedge_due;
use crate::routing::Choice;
use crate::routing::ChoiceParams;
use crate::routing::Slot;

/// Time within which a retry borrowed from a peer has to be used, in microseconds. The peers'
/// budgets bound the retries of a window only if none is used long after it was lent.
pub const RETRY_LOAN_TIMEOUT_US: u64 = 250_000;
/// Time between the requests to borrow a retry for the hedge of one request, in microseconds.
const RETRY_LOAN_PAUSE_US: u64 = 500_000;

/// Why a request was not sent to another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDenial {
    /// The request, or its body, may not be sent again.
    NotRepeatable,
    /// A newer release exists or may exist, in which the request may not be repeatable.
    Superseded,
    /// The request has been sent to as many targets as allowed, or to all there are.
    NoAttemptLeft,
    /// Neither the instance nor the peers it asked have a retry left.
    NoBudget,
    /// The service is overloaded.
    Overloaded,
    /// No target has room.
    AllBusy,
}

/// A retry that the instance has asked its peers to lend.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryLoan {
    pub(super) asked_us: u64,
    /// The failure after which the request is sent again; `None` for a hedge.
    pub(super) after: Option<Failure>,
}

impl Exchange {
    pub(super) fn borrow_retry(&mut self, now_us: u64, after: Option<Failure>) -> Step {
        self.loan = Some(RetryLoan {
            asked_us: now_us,
            after,
        });
        self.last_loan_us = Some(now_us);
        Step::BorrowRetry
    }

    /// Uses a borrowed retry, unless it comes so late that it may exceed the bound of the fleet.
    pub(super) fn handle_retry_answer(
        &mut self,
        now_us: u64,
        is_lent: bool,
        rng: &mut impl Rng,
    ) -> Step {
        let Some(loan) = self.loan.take() else {
            return Step::Continue;
        };
        let is_valid = is_lent && now_us.saturating_sub(loan.asked_us) <= RETRY_LOAN_TIMEOUT_US;
        if !is_valid {
            self.retry_denial = Some(RetryDenial::NoBudget);
        }
        match loan.after {
            Some(_) if is_valid && now_us < self.request.deadline_us => {
                self.choose_and_send(now_us, rng)
            }
            Some(failure) => self.give_up(now_us, failure.into(), rng),
            None if is_valid => self.send_hedge(now_us, rng),
            None => Step::Continue,
        }
    }

    /// Sends the request to another target if its attempts are probably lost, or would miss the
    /// latency objective.
    pub(super) fn try_hedge(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        if !self.request.repeatable || self.loan.is_some() || !self.is_hedge_due(now_us) {
            return Step::Continue;
        }
        if !self.is_repeatable(now_us) {
            self.retry_denial = Some(RetryDenial::Superseded);
            return Step::Continue;
        }
        if self.table.load.overload.is_overloaded() {
            self.retry_denial = Some(RetryDenial::Overloaded);
            return Step::Continue;
        }
        if !self.has_attempt_left(now_us) {
            return Step::Continue;
        }
        let Some((candidate, slot)) = self.choose_hedge(now_us, rng) else {
            return Step::Continue;
        };
        if self
            .table
            .load
            .retries
            .take_above(self.kept_share_of_hedges())
        {
            return self.start_attempt(now_us, candidate, slot, rng);
        }
        let has_asked_lately = self
            .last_loan_us
            .is_some_and(|asked_us| now_us.saturating_sub(asked_us) < RETRY_LOAN_PAUSE_US);
        let may_borrow = self.request.priority.is_none() && self.table.shares_retries();
        if has_asked_lately || !may_borrow {
            self.retry_denial = Some(RetryDenial::NoBudget);
            return Step::Continue;
        }
        self.borrow_retry(now_us, None)
    }

    pub(super) fn is_hedge_due(&self, now_us: u64) -> bool {
        let Some(profile) = self.table.latency_profile(self.request.objective_us) else {
            return self.in_flight() == 1 && !self.table.is_full(now_us);
        };
        let waiting = self
            .attempts
            .iter()
            .filter(|attempt| attempt.slot.is_some());
        let waiting: Vec<WaitingAttempt> = waiting
            .map(|attempt| WaitingAttempt {
                elapsed_us: now_us.saturating_sub(attempt.sent_us),
                failure_probability: self.table.candidates[attempt.candidate]
                    .load
                    .failure_probability(now_us),
            })
            .collect();
        let objective_at_us = self
            .request
            .objective_us
            .map(|objective_us| self.request.began_us + objective_us);
        // While the healthy targets are full, only a request that is probably lost, and so
        // occupies none of them, is sent again.
        let objective_left_us = objective_at_us
            .filter(|_| !self.table.is_full(now_us))
            .map(|at_us| at_us.saturating_sub(now_us));
        is_hedge_due(&profile, &waiting, objective_left_us)
    }

    fn send_hedge(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        match self.choose_hedge(now_us, rng) {
            Some((candidate, slot)) => self.start_attempt(now_us, candidate, slot, rng),
            None => Step::Continue,
        }
    }

    /// Chooses the target of a hedge, which is sent without a permit.
    fn choose_hedge(&mut self, now_us: u64, rng: &mut impl Rng) -> Option<(usize, Slot)> {
        let choice_params = ChoiceParams {
            only_unlimited: true,
            ..self.choice_params(now_us)
        };
        match self.table.choose(now_us, choice_params, rng) {
            Choice::Target(candidate, slot) => Some((candidate, slot)),
            Choice::AllBusy | Choice::NoTarget => {
                self.retry_denial = Some(RetryDenial::AllBusy);
                None
            }
        }
    }

    /// Whether the request may be sent to another target, apart from the retry budget. An attempt
    /// that failed before a byte was sent puts no load on a target, so retrying it does not count.
    pub(super) fn has_attempt_left(&mut self, now_us: u64) -> bool {
        let repeatable = self.request.repeatable || !self.may_have_run;
        if !repeatable || !self.request.replayable {
            self.retry_denial = Some(RetryDenial::NotRepeatable);
            return false;
        }
        if self.may_have_run && !self.is_repeatable(now_us) {
            self.retry_denial = Some(RetryDenial::Superseded);
            return false;
        }
        let is_left = self.attempts.len() - self.unsent_attempts < self.request.max_attempts
            && self.unsent_attempts < MAX_UNSENT_ATTEMPTS
            && now_us < self.request.deadline_us
            && self
                .table
                .usable(now_us)
                .any(|(index, _)| !self.tried.contains(&index));
        if !is_left {
            self.retry_denial = Some(RetryDenial::NoAttemptLeft);
        }
        is_left
    }
}
