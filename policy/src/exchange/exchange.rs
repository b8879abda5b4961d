//! The state machine of a request.
//!
//! Decides when to claim the idempotency key of a request, when to send, retry or
//! refuse the request, when to forward a response, and which outcome to report to the
//! caller. A request that may not be repeated is retried only if no target can have
//! run it. The same holds for any request while a newer release than its own is known to
//! exist, or may have been missed, in which its route may be of another kind.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::Outcome;
use model::ResultCode;
use rand::Rng;
use rand::RngExt;

use super::Failure;
use super::attempt::Attempt;
use super::retries::RetryDenial;
use super::retries::RetryLoan;
use crate::command::ClaimAnswer;
use crate::instance::PermitAnswer;
use crate::invariant;
use crate::invariant::Invariant;
use crate::limits::MAX_WAIT_DIVISOR;
use crate::limits::Refusal;
use crate::limits::RefusedRequest;
use crate::quarantine::Fingerprint;
use crate::routing::BodyInFlight;
use crate::routing::Choice;
use crate::routing::ChoiceParams;
use crate::routing::ServiceTable;
use crate::routing::Slot;

/// Maximum number of targets a request is sent to, unless its route sets another limit.
pub const MAX_ATTEMPTS: usize = 3;
/// Attempts that fail before a byte is sent after which a request is given up. If each of
/// them takes the connect time-out, they take half of the shortest latency objective.
pub(super) const MAX_UNSENT_ATTEMPTS: usize = 3;
/// Maximum number of targets of an overloaded service for which a permit is requested per
/// attempt: each permit request costs a trip between data centres, and if five targets are
/// full, the others are as well.
const MAX_PERMIT_REQUESTS: usize = 5;
/// Time within which a permit for a target with a rate limit is used, in microseconds: a permit
/// request is abandoned earlier.
const LIMITED_PERMIT_TTL_US: u64 = 250_000;
/// Retry-after value sent while the platform is unavailable, or too many claims are in
/// progress, in milliseconds.
const CLAIM_RETRY_AFTER_MS: u64 = 5_000;

/// The terms under which a request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Time at which the request is given up, in microseconds.
    pub deadline_us: u64,
    /// Time after which the caller has no use for a response, in microseconds.
    pub caller_deadline_us: u64,
    /// Whether the idempotency key must be claimed before the request is sent.
    pub claims_key: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Whether the request may be sent again after a target may have run it, according to the
    /// release by which it was routed.
    pub repeatable: bool,
    /// Maximum number of targets the request is sent to.
    pub max_attempts: usize,
    /// Priority, 0 being the most urgent; `None` if the request is served without regard to
    /// urgency.
    pub priority: Option<u8>,
    /// Latency objective of the route, in microseconds from the start of the request.
    pub objective_us: Option<u64>,
    /// Time at which the request was accepted, in microseconds.
    pub began_us: u64,
    /// Identity of the request by its content.
    pub fingerprint: Fingerprint,
    /// Whether another instance may be asked to serve the request.
    pub may_hand_over: bool,
    /// Whether another instance has handed the request to this one.
    pub is_handed_over: bool,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was accepted.
    Begin,
    /// The attempt to claim the key was answered.
    Claimed(ClaimAnswer),
    /// The permit request for the chosen target was answered.
    Permit(PermitAnswer),
    /// The request reached the front of the queue.
    Dequeued,
    /// The queue rejected the request.
    Refused(Refusal),
    /// An attempt failed before the head of a response was received.
    Failed {
        /// The attempt's number.
        attempt: usize,
        /// Cause of the failure.
        failure: Failure,
    },
    /// The head of a response was received.
    Head {
        /// The attempt's number.
        attempt: usize,
        /// The HTTP status.
        status: u16,
    },
    /// The attempts still wait for a response; another target may be tried.
    HedgeDue,
    /// A retry was requested from the peers.
    RetryAnswered {
        /// Whether a peer lends one.
        is_lent: bool,
    },
    /// Another instance has responded, and its response is forwarded.
    HandedOver,
    /// No other instance has taken the request.
    HandOverRefused,
    /// Another instance may have taken the request, and does not respond.
    HandOverLost,
    /// The complete response was forwarded.
    Ended,
    /// The target's response broke off while it was forwarded.
    Cut,
    /// The deadline has passed.
    Deadline,
    /// The instance has begun to shut down.
    ShutdownBegun,
    /// The instance is about to exit and gives its last answers.
    LastAnswers,
    /// The caller disconnected.
    CallerDisconnected,
}

/// The instance's own response, sent if no target's response is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The result code.
    pub code: ResultCode,
    /// Whether the request has run, as far as known.
    pub outcome: Outcome,
    /// Delay before the caller should retry, in milliseconds; `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
}

/// The action that follows an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Claim the key.
    Claim,
    /// Request a permit to send to the candidate.
    RequestPermit {
        /// The candidate's index in the table.
        candidate: usize,
    },
    /// Wait in the queue.
    Enqueue,
    /// Send to the candidate.
    Send {
        /// The attempt's number.
        attempt: usize,
        /// The candidate's index in the table.
        candidate: usize,
    },
    /// Forward the response of an attempt and cancel the other attempts.
    Forward {
        /// The attempt's number.
        attempt: usize,
    },
    /// Hand the request to another instance.
    HandOver,
    /// Wait for the next event.
    Continue,
    /// Ask the peers to lend a retry, and wait for the next event.
    BorrowRetry,
    /// Send the instance's own response to the caller.
    Reply(Reply),
    /// The exchange has finished; nothing more is sent to the caller.
    Finish(Outcome),
    /// Abort the caller's connection, so that the caller sees that the response is incomplete.
    AbortConnection,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    New,
    Claiming,
    Queued,
    AwaitingPermit,
    HandingOver,
    Sent,
    Forwarding,
    Finished,
}

/// A permit that was requested.
#[derive(Debug)]
struct AwaitedPermit {
    candidate: usize,
    slot: Slot,
    asked_us: u64,
}

/// A request in progress.
#[derive(Debug)]
pub struct Exchange {
    pub(super) request: Request,
    pub(super) table: Arc<ServiceTable>,
    pub(super) state: State,
    pub(super) attempts: Vec<Attempt>,
    pub(super) tried: Vec<usize>,
    awaiting_permit: Option<AwaitedPermit>,
    /// Candidates for which no permit was granted since the last attempt.
    denied: Vec<usize>,
    /// Number of attempts that failed before a byte was sent.
    pub(super) unsent_attempts: usize,
    pub(super) loan: Option<RetryLoan>,
    pub(super) last_loan_us: Option<u64>,
    pub(super) retry_denial: Option<RetryDenial>,
    pub(super) may_have_run: bool,
    /// Time of the last answers of an instance that shuts down, in microseconds.
    pub(super) last_answers_us: Option<u64>,
    /// Whether the request is the trial of one in quarantine.
    is_trial: bool,
    has_handed_over: bool,
    /// Whether a newer release forbids to repeat the request.
    are_repeats_forbidden: bool,
    /// Bytes for which the request's body counts at its target.
    pub(super) body_bytes: u64,
    outcome: Outcome,
}

impl Exchange {
    /// Creates an exchange that waits for [`Event::Begin`].
    pub fn new(request: Request, table: Arc<ServiceTable>) -> Self {
        Self {
            request,
            table,
            state: State::New,
            attempts: Vec::new(),
            tried: Vec::new(),
            awaiting_permit: None,
            denied: Vec::new(),
            unsent_attempts: 0,
            loan: None,
            last_loan_us: None,
            retry_denial: None,
            may_have_run: false,
            last_answers_us: None,
            is_trial: false,
            has_handed_over: false,
            are_repeats_forbidden: false,
            body_bytes: 0,
            outcome: Outcome::NotRun,
        }
    }

    /// Sets the bytes for which the request's body counts at its target.
    pub fn with_body_bytes(self, body_bytes: u64) -> Self {
        Self { body_bytes, ..self }
    }

    /// Whether the request has a body.
    pub fn has_body(&self) -> bool {
        self.body_bytes > 0
    }

    /// The body of an attempt, for which its target has room; `None` if there is none.
    pub fn body_in_flight(&self, attempt: usize) -> Option<Arc<BodyInFlight>> {
        self.attempts[attempt].slot.as_ref()?.body()
    }

    /// The table from which the exchange chooses its targets.
    pub fn table(&self) -> &Arc<ServiceTable> {
        &self.table
    }

    /// Replaces the table of a request that was not sent to any target yet; the targets may have
    /// changed while it waited.
    pub fn refresh_table(&mut self, table: Arc<ServiceTable>) {
        if self.tried.is_empty() && self.denied.is_empty() {
            self.table = table;
        }
    }

    /// Whether another instance has handed the request to this one.
    pub fn is_handed_over(&self) -> bool {
        self.request.is_handed_over
    }

    /// Identity of the request by its content.
    pub fn fingerprint(&self) -> Fingerprint {
        self.request.fingerprint
    }

    /// Whether the request has run, as far as known; final once the exchange has finished.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Priority of the request if the requests of its service differ in priority.
    pub fn priority(&self) -> Option<u8> {
        let is_mixed = self.table.load.priorities.is_mixed();
        self.request.priority.filter(|_| is_mixed)
    }

    /// Time within which a permit has to let the request be served, in microseconds: until its
    /// latency objective if requests of the service differ in priority, until its deadline otherwise.
    pub fn permit_left_us(&self, now_us: u64) -> u64 {
        let left_us = self.request.deadline_us.saturating_sub(now_us);
        match self.priority() {
            Some(_) => left_us.min(self.caller_left_us(now_us)),
            None => left_us,
        }
    }

    /// Why the request was last not sent to another target.
    pub fn retry_denial(&self) -> Option<RetryDenial> {
        self.retry_denial
    }

    /// Forbids to send the request again after a target may have run it, as the route by which a
    /// newer release serves it may not be repeated.
    pub fn forbid_repeats(&mut self) {
        self.are_repeats_forbidden = true;
    }

    /// Whether the request may be sent again now after a target may have run it.
    pub fn is_repeatable(&self, now_us: u64) -> bool {
        let table_freshness = &self.table.load.table_freshness;
        self.request.repeatable
            && !self.are_repeats_forbidden
            && !table_freshness.may_be_superseded()
            && table_freshness.is_current(now_us)
    }

    /// Whether the request may be sent to a target now.
    fn may_send(&self, now_us: u64) -> bool {
        self.is_repeatable(now_us) || (!self.may_have_run && self.in_flight() == 0)
    }

    /// Sets whether the body can be sent again, which is known once reading it has begun.
    pub fn set_replayable(&mut self, replayable: bool) {
        self.request.replayable = replayable;
    }

    /// Processes an event and returns the next step.
    pub fn on(&mut self, now_us: u64, event: Event, rng: &mut impl Rng) -> Step {
        match (self.state, event) {
            (State::Finished, _) => Step::Finish(self.outcome),
            (State::New, Event::Begin) => self.begin(now_us, rng),
            (State::Claiming, Event::Claimed(answer)) => {
                self.handle_claim_answer(now_us, answer, rng)
            }
            (State::Queued, Event::Dequeued) => self.choose_and_send(now_us, rng),
            (State::Queued, Event::Refused(refusal)) => {
                self.refuse(refusal.code, Some(refusal.retry_after_ms))
            }
            (State::AwaitingPermit, Event::Permit(answer)) => {
                self.handle_permit_answer(now_us, answer, rng)
            }
            (State::HandingOver, Event::HandedOver) => self.finish(Outcome::Ran),
            (State::HandingOver, Event::HandOverRefused) => {
                self.handle_refused_hand_over(now_us, rng)
            }
            (State::HandingOver, Event::HandOverLost) => {
                self.may_have_run = true;
                self.give_up(now_us, ResultCode::TargetTruncated, rng)
            }
            (State::Sent, Event::Failed { attempt, failure }) => {
                self.handle_failure(now_us, attempt, failure, rng)
            }
            (State::Sent, Event::Head { attempt, status }) => {
                self.handle_head(now_us, attempt, status, rng)
            }
            (State::Sent, Event::HedgeDue) => self.try_hedge(now_us, rng),
            (State::Sent, Event::RetryAnswered { is_lent }) => {
                self.handle_retry_answer(now_us, is_lent, rng)
            }
            (State::Forwarding, Event::Ended) => self.finish(Outcome::Ran),
            (State::Forwarding, Event::Cut | Event::Deadline) => {
                self.finish(Outcome::Unknown);
                Step::AbortConnection
            }
            (_, Event::Deadline) => self.handle_deadline(now_us, rng),
            (_, Event::ShutdownBegun) => self.handle_shutdown(now_us, rng),
            (_, Event::LastAnswers) => self.handle_last_answers(now_us, rng),
            (_, Event::CallerDisconnected) => self.handle_caller_disconnected(),
            _ => Step::Continue,
        }
    }

    fn begin(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        if self.quarantine_left_us(now_us).is_some() {
            let quarantine = &self.table.load.quarantine;
            self.is_trial = quarantine.take_trial(now_us, &self.request.fingerprint);
            self.request.max_attempts = 1;
        }
        if let Some(left_us) = self.quarantine_left_us(now_us) {
            // Says nothing about the service, so it counts neither as begun nor as unserved.
            self.state = State::Finished;
            return Step::Reply(quarantine_reply(Outcome::NotRun, left_us));
        }
        let left_us = self.request.deadline_us.saturating_sub(now_us);
        self.table.load.begin();
        if left_us == 0 {
            return self.refuse(ResultCode::DeadlineTooNear, Some(1));
        }
        if self.table.candidates.is_empty() {
            return self.give_up(now_us, ResultCode::NoTarget, rng);
        }
        if self.is_too_late_to_send(now_us) {
            return self.give_up(now_us, ResultCode::Draining, rng);
        }
        if self.request.claims_key {
            self.state = State::Claiming;
            return Step::Claim;
        }
        self.choose_and_send(now_us, rng)
    }

    fn handle_claim_answer(
        &mut self,
        now_us: u64,
        answer: ClaimAnswer,
        rng: &mut impl Rng,
    ) -> Step {
        match answer {
            ClaimAnswer::Won => self.choose_and_send(now_us, rng),
            ClaimAnswer::Unavailable => {
                self.refuse(ResultCode::ClaimUnavailable, Some(CLAIM_RETRY_AFTER_MS))
            }
            ClaimAnswer::TooMany => {
                self.refuse(ResultCode::TooManyClaims, Some(CLAIM_RETRY_AFTER_MS))
            }
            ClaimAnswer::Held(state) => {
                let code = state.code_for_repeat().unwrap_or(ResultCode::AlreadyBegun);
                self.reply(code, code.outcome(), None)
            }
        }
    }

    pub(super) fn choose_and_send(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        let repeatable = self.request.repeatable;
        let may_send = repeatable || (!self.may_have_run && self.in_flight() == 0);
        if !invariant::check(Invariant::AtMostOnce, may_send) {
            return self.give_up(now_us, ResultCode::TargetTruncated, rng);
        }
        if !self.may_send(now_us) {
            return self.refuse_repeat(now_us, rng);
        }
        if !self.table.load.table_freshness.is_current(now_us) {
            return self.give_up(now_us, ResultCode::NotReady, rng);
        }
        if self.is_too_late_to_send(now_us) {
            return self.give_up(now_us, ResultCode::Draining, rng);
        }
        if let Some(left_us) = self.quarantine_left_us(now_us) {
            return self.refuse_quarantined(left_us);
        }
        if self.table.load.reachability.is_lost() {
            if self.can_hand_over() {
                return self.hand_over();
            }
            if self.request.is_handed_over && self.in_flight() == 0 {
                return self.give_up(now_us, ResultCode::ConnectFailed, rng);
            }
        }
        match self.table.choose(now_us, self.choice_params(now_us), rng) {
            Choice::Target(candidate, slot) => {
                self.request_permit_or_start(now_us, candidate, slot, rng)
            }
            Choice::AllBusy if self.is_paused_too_long(now_us) => {
                self.give_up(now_us, ResultCode::Overloaded, rng)
            }
            Choice::AllBusy => {
                self.state = State::Queued;
                Step::Enqueue
            }
            Choice::NoTarget => self.give_up(now_us, ResultCode::NoTarget, rng),
        }
    }

    fn request_permit_or_start(
        &mut self,
        now_us: u64,
        candidate: usize,
        slot: Slot,
        rng: &mut impl Rng,
    ) -> Step {
        if !self.table.needs_permit(now_us, candidate) {
            return self.start_attempt(now_us, candidate, slot, rng);
        }
        self.state = State::AwaitingPermit;
        self.awaiting_permit = Some(AwaitedPermit {
            candidate,
            slot,
            asked_us: now_us,
        });
        Step::RequestPermit { candidate }
    }

    /// Whether all targets are paused for longer than a request may wait in a queue.
    fn is_paused_too_long(&self, now_us: u64) -> bool {
        let left_us = self.request.deadline_us.saturating_sub(now_us);
        let pause_left_us = self.table.pause_left_us(now_us);
        pause_left_us.is_some_and(|pause_left_us| pause_left_us > left_us / MAX_WAIT_DIVISOR)
    }

    /// Sends the request if a permit was granted; otherwise requests one for another target,
    /// or refuses the request at once. Without a decision on the permit, the request counts as
    /// permitted with the probability that the targets can serve it, unless it was denied before:
    /// what other targets have no room for would otherwise all go to the one without an owner.
    fn handle_permit_answer(
        &mut self,
        now_us: u64,
        answer: PermitAnswer,
        rng: &mut impl Rng,
    ) -> Step {
        let Some(AwaitedPermit {
            candidate,
            slot,
            asked_us,
        }) = self.awaiting_permit.take()
        else {
            return Step::Continue;
        };
        // What a limited target takes is counted when the permit is granted. A process that was
        // suspended in the meantime must not use it later.
        let is_limited = self.table.is_limited(candidate);
        let is_lapsed = is_limited && now_us.saturating_sub(asked_us) > LIMITED_PERMIT_TTL_US;
        if now_us >= self.request.deadline_us {
            return self.handle_deadline(now_us, rng);
        }
        let is_permitted = match answer {
            PermitAnswer::Permitted { .. } => !is_lapsed && self.table.is_usable(now_us, candidate),
            PermitAnswer::Denied { .. } => false,
            PermitAnswer::Unknown => {
                !is_limited
                    && self.table.is_usable(now_us, candidate)
                    && self.denied.is_empty()
                    && rng.random_bool(self.table.load.overload.servable_share())
            }
        };
        if is_permitted {
            return self.start_attempt(now_us, candidate, slot, rng);
        }
        drop(slot);
        self.denied.push(candidate);
        let other = match self.denied.len() < MAX_PERMIT_REQUESTS {
            true => {
                let choice_params = self.choice_params(now_us);
                self.table
                    .choose_after_denial(now_us, choice_params, &self.denied, rng)
            }
            false => None,
        };
        match other {
            Some((candidate, slot)) => self.request_permit_or_start(now_us, candidate, slot, rng),
            None => self.give_up(now_us, ResultCode::Overloaded, rng),
        }
    }

    pub(super) fn choice_params(&self, now_us: u64) -> ChoiceParams<'_> {
        ChoiceParams {
            repeatable: self.request.repeatable,
            left_us: self.request.deadline_us.saturating_sub(now_us),
            tried: &self.tried,
            only_unlimited: false,
            body_bytes: self.body_bytes,
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        now_us: u64,
        candidate: usize,
        slot: Slot,
        rng: &mut impl Rng,
    ) -> Step {
        if let Some(left_us) = self.quarantine_left_us(now_us) {
            return match self.in_flight() {
                0 => self.refuse_quarantined(left_us),
                _ => Step::Continue,
            };
        }
        if !self.may_send(now_us) {
            return self.refuse_repeat(now_us, rng);
        }
        self.state = State::Sent;
        self.denied.clear();
        self.tried.push(candidate);
        self.attempts.push(Attempt {
            candidate,
            slot: Some(slot),
            sent_us: now_us,
        });
        Step::Send {
            attempt: self.attempts.len() - 1,
            candidate,
        }
    }

    /// Time until the request's quarantine ends; `None` if the request may be sent.
    fn quarantine_left_us(&self, now_us: u64) -> Option<u64> {
        if self.is_trial {
            return None;
        }
        let quarantine = &self.table.load.quarantine;
        quarantine.left_us(now_us, &self.request.fingerprint)
    }

    /// Waits for the attempts in flight, or ends the request, in place of a repetition that a newer
    /// release may not allow.
    fn refuse_repeat(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        self.retry_denial = Some(RetryDenial::Superseded);
        match self.in_flight() {
            0 => self.give_up(now_us, ResultCode::TargetTruncated, rng),
            _ => Step::Continue,
        }
    }

    fn refuse_quarantined(&mut self, left_us: u64) -> Step {
        let outcome = self.reportable_outcome(Outcome::NotRun);
        let reply = quarantine_reply(outcome, left_us);
        self.reply(reply.code, reply.outcome, reply.retry_after_ms)
    }

    fn handle_failure(
        &mut self,
        now_us: u64,
        attempt: usize,
        failure: Failure,
        rng: &mut impl Rng,
    ) -> Step {
        self.end_attempt(attempt);
        self.may_have_run |= failure.may_have_run();
        self.unsent_attempts += usize::from(failure == Failure::NotSent);
        if self.in_flight() > 0 {
            return Step::Continue;
        }
        if !self.has_attempt_left(now_us) {
            if failure == Failure::NotSent && self.can_hand_over() {
                return self.hand_over();
            }
            return self.give_up(now_us, failure.into(), rng);
        }
        if failure == Failure::NotSent {
            return self.choose_and_send(now_us, rng);
        }
        if let Some(loan) = &mut self.loan {
            loan.after = Some(failure);
            return Step::Continue;
        }
        if self.take_retry_for_urgency() {
            return self.choose_and_send(now_us, rng);
        }
        if !self.table.shares_retries() {
            self.retry_denial = Some(RetryDenial::NoBudget);
            return self.give_up(now_us, failure.into(), rng);
        }
        self.borrow_retry(now_us, Some(failure))
    }

    /// Whether the request may still be handed to another instance: once, and only if it has not run.
    fn can_hand_over(&self) -> bool {
        self.request.may_hand_over
            && self.request.replayable
            && !self.has_handed_over
            && !self.is_trial
            && !self.may_have_run
            && self.in_flight() == 0
    }

    fn hand_over(&mut self) -> Step {
        self.has_handed_over = true;
        self.state = State::HandingOver;
        Step::HandOver
    }

    fn handle_refused_hand_over(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        match self.has_attempt_left(now_us) {
            true => self.choose_and_send(now_us, rng),
            false => self.give_up(now_us, ResultCode::ConnectFailed, rng),
        }
    }

    fn handle_head(
        &mut self,
        now_us: u64,
        attempt: usize,
        status: u16,
        rng: &mut impl Rng,
    ) -> Step {
        let candidate = self.attempts[attempt].candidate;
        let is_refusal =
            status == 503 && self.table.candidates[candidate].target.refusal_is_not_run;
        if is_refusal {
            return self.handle_failure(now_us, attempt, Failure::Refused, rng);
        }
        let is_server_error = status >= 500;
        if is_server_error
            && self.is_repeatable(now_us)
            && self.in_flight() == 1
            && self.has_attempt_left(now_us)
            && self.take_retry_for_urgency()
        {
            self.end_attempt(attempt);
            self.may_have_run = true;
            return self.choose_and_send(now_us, rng);
        }
        let is_in_flight =
            invariant::check(Invariant::OwnAnswer, self.attempts[attempt].slot.is_some());
        if !is_in_flight {
            return self.give_up(now_us, ResultCode::TargetMalformed, rng);
        }
        self.state = State::Forwarding;
        self.may_have_run = true;
        for other in 0..self.attempts.len() {
            if other != attempt {
                self.end_attempt(other);
            }
        }
        Step::Forward { attempt }
    }

    fn handle_deadline(&mut self, now_us: u64, rng: &mut impl Rng) -> Step {
        if self.is_at_target() {
            self.may_have_run = true;
            return self.give_up(now_us, ResultCode::TargetTimeout, rng);
        }
        self.give_up(now_us, ResultCode::DeadlineTooNear, rng)
    }

    fn handle_caller_disconnected(&mut self) -> Step {
        if self.is_at_target() {
            self.may_have_run = true;
        }
        let outcome = self.reportable_outcome(Outcome::NotRun);
        self.finish(outcome)
    }

    fn refuse(&mut self, code: ResultCode, retry_after_ms: Option<u64>) -> Step {
        let outcome = self.reportable_outcome(code.outcome());
        self.reply(code, outcome, retry_after_ms)
    }

    pub(super) fn give_up(&mut self, now_us: u64, code: ResultCode, rng: &mut impl Rng) -> Step {
        let is_full = self.table.is_full(now_us);
        let is_prioritized = self.request.priority.is_some();
        let comes_back = code == ResultCode::TargetRefused && is_prioritized && !is_full;
        let left_us = match comes_back {
            true => self.caller_left_us(now_us),
            false => self.request.caller_deadline_us.saturating_sub(now_us),
        };
        self.table
            .load
            .returned
            .fetch_add(u64::from(comes_back), Ordering::Relaxed);
        let refused = RefusedRequest {
            code,
            is_full,
            pause_left_us: self.table.pause_left_us(now_us).unwrap_or(0),
            left_us,
            is_prioritized,
        };
        let retry_after_ms = refused.retry_after_ms(rng);
        self.refuse(code, Some(retry_after_ms))
    }

    /// The outcome to report: `unknown` instead of `not-run` if the request may have run.
    fn reportable_outcome(&self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::NotRun && self.may_have_run {
            Outcome::Unknown
        } else {
            outcome
        }
    }

    fn reply(&mut self, code: ResultCode, outcome: Outcome, retry_after_ms: Option<u64>) -> Step {
        let is_true = outcome != Outcome::NotRun || !self.may_have_run;
        let outcome = if invariant::check(Invariant::NotRunIsTrue, is_true) {
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
        self.state = State::Finished;
        self.outcome = outcome;
        if outcome != Outcome::Ran {
            self.table.load.unserved.fetch_add(1, Ordering::Relaxed);
        }
        self.awaiting_permit = None;
        for attempt in &mut self.attempts {
            attempt.slot = None;
        }
        Step::Finish(outcome)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.slot.is_some())
            .count()
    }

    /// Whether a target, or another instance, may be working on the request.
    pub(super) fn is_at_target(&self) -> bool {
        self.in_flight() > 0 || self.state == State::HandingOver
    }

    fn end_attempt(&mut self, attempt: usize) {
        self.attempts[attempt].slot = None;
    }
}

/// Refuses a request until its quarantine ends.
fn quarantine_reply(outcome: Outcome, left_us: u64) -> Reply {
    Reply {
        code: ResultCode::Quarantined,
        outcome,
        retry_after_ms: Some(left_us.div_ceil(1_000)),
    }
}
