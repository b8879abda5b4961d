//! Running an exchange: its steps carried out, its events brought in.

use std::sync::Arc;

use border::Judgement;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use model::Outcome;
use model::ResultCode;
use model::configuration::Target;
use policy::Input;
use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Failure;
use policy::exchange::Observation;
use policy::exchange::Reply;
use policy::exchange::Step;
use policy::instance::PERMIT_TIMEOUT_US;
use policy::instance::PermitAnswer;
use policy::routing::Candidate;

use super::Entry;
use super::body::AnswerBody;
use super::call::Call;
use super::headers::remove_hop_by_hop;
use super::pass_body::PassBody;
use super::pass_body::PassedAnswer;
use super::reply::answer;
use super::request_log;
use super::sending::Head;
use super::sending::attempt_once;
use super::sending::outgoing;
use crate::control::Permit;
use crate::metrics::RequestLabels;
use crate::targets::SendFailure;

const MICROS_PER_MILLI: u64 = 1_000;

struct Ended {
    attempt: usize,
    result: Result<Head, SendFailure>,
}

/// An exchange in progress.
pub(super) struct Runner {
    entry: Arc<Entry>,
    call: Call,
    attempts: FuturesUnordered<BoxFuture<'static, Ended>>,
    sent: Vec<SentAttempt>,
    head: Option<Head>,
    /// The permit by which the attempt in work was sent.
    permit: Option<Permit>,
    /// When the attempt in work counts as overdue.
    slow_us: Option<u64>,
    /// When another target is asked beside it.
    hedge_us: Option<u64>,
    is_logged: bool,
}

struct SentAttempt {
    target: Arc<Target>,
    sent_us: u64,
    counted: bool,
}

impl Runner {
    pub(super) fn new(entry: Arc<Entry>, call: Call) -> Self {
        let is_logged = entry.sampler.keeps(call.began_us, call.asked.id());
        Self {
            is_logged,
            entry,
            call,
            attempts: FuturesUnordered::new(),
            sent: Vec::new(),
            head: None,
            permit: None,
            slow_us: None,
            hedge_us: None,
        }
    }

    /// Runs the exchange up to the head of the answer.
    pub(super) async fn run(mut self) -> Response<AnswerBody> {
        let mut step = self.on(Event::Begin);
        loop {
            step = match step {
                Step::Claim => self.claim().await,
                Step::RequestPermit { candidate } => self.ask(candidate).await,
                Step::Enqueue => self.wait().await,
                Step::Send { attempt, candidate } => {
                    self.send(attempt, candidate);
                    self.next_event().await
                }
                Step::Continue => self.next_event().await,
                Step::Forward { attempt } => return self.pass(attempt),
                Step::Reply(reply) => return self.reply(reply),
                Step::Finish(outcome) => return self.reply(gone(outcome)),
                Step::AbortConnection => return self.reply(gone(Outcome::Unknown)),
            };
        }
    }

    fn on(&mut self, event: Event) -> Step {
        let now_us = self.entry.clock.now_us();
        let step = self.call.exchange.on(now_us, event, &mut rand::rng());
        if matches!(
            event,
            Event::Failed { .. } | Event::Head { .. } | Event::Deadline
        ) {
            self.entry.waiting.freed();
        }
        step
    }

    async fn claim(&mut self) -> Step {
        let deadline = self.entry.clock.instant(self.call.deadline_us);
        let claimed = tokio::time::timeout_at(deadline, self.call.record.make_claim()).await;
        match claimed {
            Ok(answer) => self.on(Event::Claimed(answer)),
            Err(_) => self.on(Event::Deadline),
        }
    }

    /// Asks the home of a target of a crowded service for a permit.
    async fn ask(&mut self, candidate: usize) -> Step {
        let table = self.call.exchange.table();
        let target = table.candidates[candidate].target.name.clone();
        let asked_us = self.entry.clock.now_us();
        let left_us = self.call.deadline_us.saturating_sub(asked_us);
        let permits = &self.entry.permits;
        let (answer, permit) = permits.ask(&self.entry.control, target.clone(), left_us);
        let until_us = asked_us + PERMIT_TIMEOUT_US.min(left_us);
        let until = self.entry.clock.instant(until_us);
        let answer = match tokio::time::timeout_at(until, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => PermitAnswer::Unknown,
        };
        match answer {
            PermitAnswer::Permitted { .. } => self.permit = Some(permit),
            PermitAnswer::Denied { .. } => drop(permit),
            PermitAnswer::Unknown => permit.expire(),
        }
        if self.is_logged {
            let now_us = self.entry.clock.now_us();
            request_log::permit(&self.call, &target, answer, now_us - asked_us);
        }
        self.on(Event::Permit(answer))
    }

    async fn wait(&mut self) -> Step {
        let now_us = self.entry.clock.now_us();
        let table = self.call.exchange.table().clone();
        let entered =
            self.entry
                .waiting
                .enter(now_us, &table, &self.call.customer, self.call.deadline_us);
        let turn = match entered {
            Ok(turn) => turn,
            Err(refusal) => return self.on(Event::Refused(refusal)),
        };
        let deadline = self.entry.clock.instant(self.call.deadline_us);
        match tokio::time::timeout_at(deadline, turn).await {
            Ok(_) => self.on(Event::Dequeued),
            Err(_) => {
                self.entry
                    .waiting
                    .leave(&table.service.name, &self.call.customer);
                self.on(Event::Deadline)
            }
        }
    }

    fn send(&mut self, attempt: usize, candidate: usize) {
        let table = self.call.exchange.table();
        let Candidate { target, load, .. } = table.candidates[candidate].clone();
        let now_us = self.entry.clock.now_us();
        let usual_us = self.call.usual_us();
        self.slow_us = usual_us.map(|usual_us| now_us + usual_us);
        self.hedge_us = usual_us.map(|usual_us| now_us + self.call.hedge_after_us(usual_us));
        self.sent.push(SentAttempt {
            target: target.clone(),
            sent_us: now_us,
            counted: false,
        });
        let fresh = !self.call.repeatable;
        let left_ms = self.call.deadline_us.saturating_sub(now_us) / MICROS_PER_MILLI;
        if self.is_logged || attempt > 0 {
            request_log::sent(&self.call, now_us, attempt, candidate, left_ms);
        }
        let mut parts = outgoing(&self.call.parts);
        let headers = parts.headers_mut();
        self.entry
            .header_protocol
            .dress(&self.call.asked, &target, left_ms, headers);
        let body = self.call.body.clone();
        let entry = self.entry.clone();
        let sending = async move {
            let result = attempt_once(&entry, &target, &load, fresh, parts, &body).await;
            Ended { attempt, result }
        };
        self.attempts.push(sending.boxed());
    }

    async fn next_event(&mut self) -> Step {
        let clock = self.entry.clock;
        let deadline = clock.instant(self.call.deadline_us);
        let slow = clock.instant(self.slow_us.unwrap_or(u64::MAX / 4));
        let hedge = clock.instant(self.hedge_us.unwrap_or(u64::MAX / 4));
        tokio::select! {
            Some(ended) = self.attempts.next() => self.attempt_ended(ended),
            () = tokio::time::sleep_until(slow), if self.slow_us.is_some() => {
                self.slow_us = None;
                self.observe_overdue();
                self.on(Event::HedgeDue)
            }
            () = tokio::time::sleep_until(hedge), if self.hedge_us.is_some() => {
                self.hedge_us = None;
                self.on(Event::HedgeDue)
            }
            () = tokio::time::sleep_until(deadline) => {
                self.end_overdue();
                self.on(Event::Deadline)
            }
        }
    }

    fn attempt_ended(&mut self, ended: Ended) -> Step {
        let attempt = ended.attempt;
        let replayable = self.call.body.is_replayable();
        self.call.exchange.set_replayable(replayable);
        match ended.result {
            Ok(head) => self.judge(attempt, head),
            Err(failure) => {
                let (end, failure) = match failure {
                    SendFailure::NotSent => (AttemptEnd::NotSent, Failure::NotSent),
                    SendFailure::Leaving => (AttemptEnd::Cancelled, Failure::NotSent),
                    SendFailure::Unreachable => (AttemptEnd::Unreachable, Failure::NotSent),
                    SendFailure::Cut => (AttemptEnd::Cut, Failure::Cut),
                    SendFailure::Silent => (AttemptEnd::Unreachable, Failure::Cut),
                    SendFailure::Malformed => (AttemptEnd::Cut, Failure::Malformed),
                };
                self.fail(attempt, end, failure)
            }
        }
    }

    /// Goes on after the head of an answer; one that is not the target's own
    /// answer to this request ends the connection.
    fn judge(&mut self, attempt: usize, head: Head) -> Step {
        let response = &head.response;
        let status = response.status();
        let header_protocol = &self.entry.header_protocol;
        match header_protocol.judge(&self.call.asked, status, response.headers()) {
            Judgement::Own => {
                self.observe(attempt, self.end_of(attempt, &head.response));
                self.head = Some(head);
                let status = status.as_u16();
                self.on(Event::Head { attempt, status })
            }
            Judgement::NotRun => self.fail(attempt, AttemptEnd::Shed, Failure::Refused),
            Judgement::OtherTarget => self.fail(attempt, AttemptEnd::Unreachable, Failure::Refused),
            Judgement::Foreign => self.fail(attempt, AttemptEnd::Cut, Failure::Malformed),
        }
    }

    fn fail(&mut self, attempt: usize, end: AttemptEnd, failure: Failure) -> Step {
        self.permit = None;
        let sent = &self.sent[attempt];
        let after_us = self.entry.clock.now_us().saturating_sub(sent.sent_us);
        request_log::attempt_failed(
            &self.call,
            attempt,
            &sent.target.name,
            (end, failure),
            after_us,
        );
        self.observe(attempt, end);
        self.on(Event::Failed { attempt, failure })
    }

    fn end_of(&self, attempt: usize, response: &Response<Incoming>) -> AttemptEnd {
        let status = response.status().as_u16();
        let sent = &self.sent[attempt];
        let sheds = sent.target.refusal_is_not_run || response.headers().contains_key(RETRY_AFTER);
        if status == 503 && sheds {
            return AttemptEnd::Shed;
        }
        AttemptEnd::Answered {
            good: status < 500,
            latency_us: self.entry.clock.now_us().saturating_sub(sent.sent_us),
        }
    }

    fn observe(&mut self, attempt: usize, end: AttemptEnd) {
        let sent = &mut self.sent[attempt];
        let observation = Observation {
            service: sent.target.service.clone(),
            target: sent.target.name.clone(),
            end,
            counted: sent.counted,
        };
        sent.counted = true;
        self.entry.control.tell(Input::Observed(observation));
    }

    fn observe_overdue(&mut self) {
        for attempt in 0..self.sent.len() {
            if !self.sent[attempt].counted {
                self.observe(attempt, AttemptEnd::Overdue);
            }
        }
    }

    /// Ends the attempts at the deadline. One that had less time than answers
    /// usually take says nothing of its target.
    fn end_overdue(&mut self) {
        let now_us = self.entry.clock.now_us();
        for attempt in 0..self.sent.len() {
            let sent = &self.sent[attempt];
            if sent.counted {
                continue;
            }
            let usual_us = self.call.usual_us().unwrap_or(u64::MAX);
            let waited_us = now_us.saturating_sub(sent.sent_us);
            let end = match waited_us >= usual_us {
                true => AttemptEnd::Overdue,
                false => AttemptEnd::Cancelled,
            };
            self.observe(attempt, end);
        }
    }

    fn pass(mut self, attempt: usize) -> Response<AnswerBody> {
        let Some(head) = self.head.take() else {
            return self.reply(gone(Outcome::Unknown));
        };
        let sent = &self.sent[attempt];
        let now_us = self.entry.clock.now_us();
        let answer_us = now_us.saturating_sub(self.call.began_us);
        let target_us = now_us.saturating_sub(sent.sent_us);
        let service = self.call.exchange.table().service.clone();
        self.entry.metrics.answered(
            &service.name,
            self.call.class.as_str(),
            answer_us,
            answer_us - target_us,
        );
        let status = head.response.status().as_u16();
        if self.is_logged || status >= 500 {
            log::info!(
                "event=request-answered id={} service={} attempt={attempt} target={} status={status} answer_ms={} target_ms={}",
                self.call.asked.id(),
                service.name,
                sent.target.name,
                answer_us / MICROS_PER_MILLI,
                target_us / MICROS_PER_MILLI
            );
        }
        let answer = PassedAnswer {
            id: self.call.asked.id().into(),
            class: self.call.class,
            entry: self.entry.clone(),
            exchange: self.call.exchange,
            record: self.call.record,
            target: sent.target.name.clone(),
            connection: Some(head.connection),
            places: self.call.places,
            _permit: self.permit,
        };
        let (mut parts, incoming) = head.response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        self.entry.header_protocol.pass_on(&mut parts.headers);
        if self.entry.control.shared().table().draining {
            parts
                .headers
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        parts.version = hyper::Version::HTTP_11;
        Response::from_parts(parts, PassBody::new(incoming, answer).boxed())
    }

    fn reply(mut self, reply: Reply) -> Response<AnswerBody> {
        self.call.record.finish(reply.outcome);
        let service = &self.call.exchange.table().service;
        self.entry.metrics.request(&RequestLabels {
            service: service.name.to_string(),
            class: self.call.class.as_str().to_owned(),
            code: reply.code.number(),
            outcome: reply.outcome.to_string(),
        });
        let now_us = self.entry.clock.now_us();
        request_log::failed(&self.call, now_us, self.sent.len(), &reply);
        answer(&*self.entry.header_protocol, &reply)
    }
}

fn gone(outcome: Outcome) -> Reply {
    Reply {
        code: ResultCode::CallerDisconnected,
        outcome,
        retry_after_ms: None,
    }
}
