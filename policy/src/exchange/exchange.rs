//! The state machine of a request.
//!
//! It decides when a request is claimed, sent, sent again, passed on or
//! refused, and what its caller is told of its effect. A request that may not
//! be repeated is sent again only if no target can have run it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::Outcome;
use model::ResultCode;
use rand::Rng;
use rand::RngExt;

use super::Failure;
use super::attempt::Attempt;
use crate::command::ClaimAnswer;
use crate::instance::PermitAnswer;
use crate::invariant;
use crate::invariant::Invariant;
use crate::limits::Refusal;
use crate::limits::Refused;
use crate::routing::Choice;
use crate::routing::Need;
use crate::routing::ServiceTable;
use crate::routing::Slot;

/// Targets that a request may be sent to unless its route says otherwise.
pub const MAX_ATTEMPTS: usize = 3;
/// Targets in vain asked for a connection, after which a request is given up: with
/// the time limit of opening one, half of the shortest objective.
const MAX_UNSENT: usize = 3;
/// Targets of a crowded service that a request asks for at most: each question takes a
/// way between data centres, and where five are full the others are, too.
const MAX_ASKED: usize = 5;
/// When to come back while the platform is away, in milliseconds.
const RETRY_AFTER_CLAIM_MS: u64 = 5_000;

/// What is asked of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// When the request is given up, in microseconds.
    pub deadline_us: u64,
    /// When the answer is of no more use to its caller, in microseconds.
    pub caller_deadline_us: u64,
    /// Whether a key must be claimed before anything is sent.
    pub claims_key: bool,
    /// Whether the body can be sent a second time.
    pub replayable: bool,
    /// Whether it may be sent again after a target may have run it.
    pub repeatable: bool,
    /// Targets that it may be sent to at most.
    pub max_attempts: usize,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was accepted.
    Begin,
    /// The claim of its key was answered.
    Claimed(ClaimAnswer),
    /// Whether it may be sent to the target that was chosen.
    Permit(PermitAnswer),
    /// Its turn in the queue has come.
    Turn,
    /// The queue does not take it.
    Refused(Refusal),
    /// An attempt failed before the head of an answer came.
    Failed {
        /// The attempt's number.
        attempt: usize,
        /// How.
        failure: Failure,
    },
    /// The head of an answer came.
    Head {
        /// The attempt's number.
        attempt: usize,
        /// The HTTP status.
        status: u16,
    },
    /// The answer takes longer than nearly all others.
    Slow,
    /// The answer was passed on whole.
    Ended,
    /// The target cut the answer.
    Cut,
    /// The deadline has passed.
    Deadline,
    /// The caller went away.
    CallerGone,
}

/// The final answer to a request that no target's answer is passed on for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Why.
    pub code: ResultCode,
    /// What is known of the effect.
    pub outcome: Outcome,
    /// When it helps to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Claim the key.
    Claim,
    /// Ask for a permit to send to the candidate.
    Ask {
        /// The candidate's index in the table.
        candidate: usize,
    },
    /// Wait in the queue.
    Wait,
    /// Send to the candidate.
    Send {
        /// The attempt's number.
        attempt: usize,
        /// The candidate's index in the table.
        candidate: usize,
    },
    /// Pass on the answer of an attempt and cancel the others.
    Pass {
        /// The attempt's number.
        attempt: usize,
    },
    /// Go on waiting.
    Continue,
    /// Answer the caller.
    Reply(Reply),
    /// The exchange is over; the caller has got what it gets.
    Finish(Outcome),
    /// Break the caller's connection, so that the cut shows.
    Break,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    New,
    Claiming,
    Waiting,
    Asking,
    Sent,
    Passing,
    Over,
}

/// A request in work.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    table: Arc<ServiceTable>,
    state: State,
    attempts: Vec<Attempt>,
    tried: Vec<usize>,
    /// The candidate that a permit is asked for, and those that were denied since the last
    /// attempt.
    asked: Option<(usize, Slot)>,
    denied: Vec<usize>,
    /// Attempts of which no byte has left.
    unsent: usize,
    may_have_run: bool,
    outcome: Outcome,
}

impl Exchange {
    /// An exchange that has not begun.
    pub fn new(request: Request, table: Arc<ServiceTable>) -> Self {
        Self {
            request,
            table,
            state: State::New,
            attempts: Vec::new(),
            tried: Vec::new(),
            asked: None,
            denied: Vec::new(),
            unsent: 0,
            may_have_run: false,
            outcome: Outcome::NotRun,
        }
    }

    /// The table that the exchange chooses from.
    pub fn table(&self) -> &Arc<ServiceTable> {
        &self.table
    }

    /// What is known of the effect; final once the exchange is over.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Says whether the body can be sent again, once it has begun to be read.
    pub fn set_replayable(&mut self, replayable: bool) {
        self.request.replayable = replayable;
    }

    /// Goes on after an event.
    pub fn on(&mut self, now_us: u64, event: Event, rng: &mut impl Rng) -> Step {
        match (self.state, event) {
            (State::Over, _) => Step::Finish(self.outcome),
            (State::New, Event::Begin) => self.begin(now_us, rng),
            (State::Claiming, Event::Claimed(answer)) => self.claimed(now_us, answer, rng),
            (State::Waiting, Event::Turn) => self.send(now_us, rng),
            (State::Waiting, Event::Refused(refusal)) => {
                self.refuse_for(refusal.code, Some(refusal.retry_after_ms))
            }
            (State::Asking, Event::Permit(answer)) => self.permitted(now_us, answer, rng),
            (State::Sent, Event::Failed { attempt, failure }) => {
                self.failed(now_us, attempt, failure, rng)
            }
            (State::Sent, Event::Head { attempt, status }) => {
                self.head(now_us, attempt, status, rng)
            }
            (State::Sent, Event::Slow) => self.hedge(now_us, rng),
            (State::Passing, Event::Ended) => self.finish(Outcome::Ran),
            (State::Passing, Event::Cut | Event::Deadline) => {
                self.finish(Outcome::Unknown);
                Step::Break
            }
            (_, Event::Deadline) => self.deadline(now_us, rng),
            (_, Event::CallerGone) => self.caller_gone(),
            _ => Step::Continue,
        }
    }

    fn begin(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        let left_us = self.request.deadline_us.saturating_sub(now_us);
        self.table.load.begin();
        if left_us == 0 {
            return self.refuse_for(ResultCode::DeadlineTooNear, Some(1));
        }
        if self.table.candidates.is_empty() {
            return self.give_up(now_us, ResultCode::NoTarget, rng);
        }
        if self.request.claims_key {
            self.state = State::Claiming;
            return Step::Claim;
        }
        self.send(now_us, rng)
    }

    fn claimed(&mut self, now_us: u64, answer: ClaimAnswer, rng: &mut impl Rng) -> Step {
        match answer {
            ClaimAnswer::Won => self.send(now_us, rng),
            ClaimAnswer::Unavailable => {
                self.refuse_for(ResultCode::ClaimUnavailable, Some(RETRY_AFTER_CLAIM_MS))
            }
            ClaimAnswer::TooMany => {
                self.refuse_for(ResultCode::ClaimRateExceeded, Some(RETRY_AFTER_CLAIM_MS))
            }
            ClaimAnswer::Held(state) => {
                let code = state.repeat_code().unwrap_or(ResultCode::AlreadyBegun);
                self.answer(code, code.outcome(), None)
            }
        }
    }

    fn send(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        let repeatable = self.request.repeatable;
        let once = repeatable || (!self.may_have_run && self.in_flight() == 0);
        if !invariant::check(Invariant::AtMostOnce, once) {
            return self.give_up(now_us, ResultCode::TargetCut, rng);
        }
        if !self.table.load.table_freshness.is_current(now_us) {
            return self.give_up(now_us, ResultCode::NotReady, rng);
        }
        match self.table.choose(now_us, self.need(now_us), rng) {
            Choice::Target(candidate, slot) => self.ask_or_start(now_us, candidate, slot),
            Choice::Busy => {
                self.state = State::Waiting;
                Step::Wait
            }
            Choice::Nothing => self.give_up(now_us, ResultCode::NoTarget, rng),
        }
    }

    fn ask_or_start(&mut self, now_us: u64, candidate: usize, slot: Slot) -> Step {
        if !self.table.needs_permit(now_us, candidate) {
            return self.start_attempt(candidate, slot);
        }
        self.state = State::Asking;
        self.asked = Some((candidate, slot));
        Step::Ask { candidate }
    }

    /// Sends the request if it may; tries another target or refuses it at once if not.
    fn permitted(&mut self, now_us: u64, answer: PermitAnswer, rng: &mut impl Rng) -> Step {
        let Some((candidate, slot)) = self.asked.take() else {
            return Step::Continue;
        };
        if now_us >= self.request.deadline_us {
            return self.deadline(now_us, rng);
        }
        let is_permitted = match answer {
            PermitAnswer::Permitted { .. } => true,
            PermitAnswer::Denied { .. } => false,
            PermitAnswer::Unknown => rng.random_bool(self.table.load.overload.part_finished()),
        };
        if is_permitted {
            return self.start_attempt(candidate, slot);
        }
        drop(slot);
        self.denied.push(candidate);
        let other = match self.denied.len() < MAX_ASKED {
            true => {
                let need = self.need(now_us);
                self.table
                    .choose_unpermitted(now_us, need, &self.denied, rng)
            }
            false => None,
        };
        match other {
            Some((candidate, slot)) => self.ask_or_start(now_us, candidate, slot),
            None => self.give_up(now_us, ResultCode::Overloaded, rng),
        }
    }

    fn need(&self, now_us: u64) -> Need<'_> {
        Need {
            repeatable: self.request.repeatable,
            left_us: self.request.deadline_us.saturating_sub(now_us),
            tried: &self.tried,
        }
    }

    fn start_attempt(&mut self, candidate: usize, slot: Slot) -> Step {
        self.state = State::Sent;
        self.denied.clear();
        self.tried.push(candidate);
        self.attempts.push(Attempt {
            candidate,
            slot: Some(slot),
        });
        Step::Send {
            attempt: self.attempts.len() - 1,
            candidate,
        }
    }

    fn failed(
        &mut self,
        now_us: u64,
        attempt: usize,
        failure: Failure,
        rng: &mut impl Rng,
    ) -> Step {
        self.end_attempt(attempt);
        self.may_have_run |= failure.may_have_run();
        self.unsent += usize::from(failure == Failure::NotSent);
        if self.in_flight() > 0 {
            return Step::Continue;
        }
        if self.may_try_again(now_us, failure) {
            return self.send(now_us, rng);
        }
        let code = match failure {
            Failure::NotSent => ResultCode::ConnectFailed,
            Failure::Refused => ResultCode::TargetRefused,
            Failure::Cut => ResultCode::TargetCut,
            Failure::Malformed => ResultCode::TargetMalformed,
        };
        self.give_up(now_us, code, rng)
    }

    fn head(&mut self, now_us: u64, attempt: usize, status: u16, rng: &mut impl Rng) -> Step {
        let candidate = self.attempts[attempt].candidate;
        let refused = status == 503 && self.table.candidates[candidate].target.refusal_is_not_run;
        if refused {
            return self.failed(now_us, attempt, Failure::Refused, rng);
        }
        let failed = status >= 500;
        if failed
            && self.request.repeatable
            && self.may_try_again(now_us, Failure::Cut)
            && self.in_flight() == 1
        {
            self.end_attempt(attempt);
            self.may_have_run = true;
            return self.send(now_us, rng);
        }
        let first = invariant::check(Invariant::OwnAnswer, self.attempts[attempt].slot.is_some());
        if !first {
            return self.give_up(now_us, ResultCode::TargetMalformed, rng);
        }
        self.state = State::Passing;
        self.may_have_run = true;
        for other in 0..self.attempts.len() {
            if other != attempt {
                self.end_attempt(other);
            }
        }
        Step::Pass { attempt }
    }

    fn hedge(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        let may = self.request.repeatable
            && self.in_flight() == 1
            && !self.table.is_full(now_us)
            && !self.table.load.overload.is_overloaded()
            && self.may_try_again(now_us, Failure::Cut);
        if !may {
            return Step::Continue;
        }
        match self.table.choose(now_us, self.need(now_us), rng) {
            Choice::Target(candidate, slot) => self.start_attempt(candidate, slot),
            Choice::Busy | Choice::Nothing => Step::Continue,
        }
    }

    fn deadline(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        if self.in_flight() > 0 {
            self.may_have_run = true;
            return self.give_up(now_us, ResultCode::TargetTimeout, rng);
        }
        self.give_up(now_us, ResultCode::DeadlineTooNear, rng)
    }

    fn caller_gone(&mut self) -> Step {
        if self.in_flight() > 0 {
            self.may_have_run = true;
        }
        let outcome = self.honest(Outcome::NotRun);
        self.finish(outcome)
    }

    /// Whether another target may be tried; a target that nothing was sent to
    /// has received nothing, so that the budget of retries is not asked.
    fn may_try_again(&self, now_us: u64, failure: Failure) -> bool {
        let repeatable = self.request.repeatable || !self.may_have_run;
        repeatable
            && self.request.replayable
            && self.attempts.len() - self.unsent < self.request.max_attempts
            && self.unsent < MAX_UNSENT
            && now_us < self.request.deadline_us
            && self.tried.len() < self.table.candidates.len()
            && (failure == Failure::NotSent || self.table.load.retries.take())
    }

    fn refuse_for(&mut self, code: ResultCode, retry_after_ms: Option<u64>) -> Step {
        let outcome = self.honest(code.outcome());
        self.answer(code, outcome, retry_after_ms)
    }

    fn give_up(&mut self, now_us: u64, code: ResultCode, rng: &mut impl Rng) -> Step {
        let refused = Refused {
            code,
            is_full: self.table.is_full(now_us),
            left_us: self.request.caller_deadline_us.saturating_sub(now_us),
        };
        let return_after_ms = refused.return_after_ms(rng);
        self.refuse_for(code, Some(return_after_ms))
    }

    /// The outcome to report: never `not-run` for what may have run.
    fn honest(&self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::NotRun && self.may_have_run {
            Outcome::Unknown
        } else {
            outcome
        }
    }

    fn answer(&mut self, code: ResultCode, outcome: Outcome, retry_after_ms: Option<u64>) -> Step {
        let honest = outcome != Outcome::NotRun || !self.may_have_run;
        let outcome = if invariant::check(Invariant::NotRunIsTrue, honest) {
            outcome
        } else {
            Outcome::Unknown
        };
        self.finish(outcome);
        Step::Reply(Reply {
            code,
            outcome,
            retry_after_ms,
        })
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        self.state = State::Over;
        self.outcome = outcome;
        if outcome != Outcome::Ran {
            self.table.load.unserved.fetch_add(1, Ordering::Relaxed);
        }
        self.asked = None;
        for attempt in &mut self.attempts {
            attempt.slot = None;
        }
        Step::Finish(outcome)
    }

    fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.slot.is_some())
            .count()
    }

    fn end_attempt(&mut self, attempt: usize) {
        self.attempts[attempt].slot = None;
    }
}
