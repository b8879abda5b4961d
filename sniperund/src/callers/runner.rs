//! Runs an exchange: carries out the steps of its state machine and feeds the resulting
//! events back into it.

use std::sync::Arc;

use border::AnswerKind;
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

use super::ProxyState;
use super::body::AnswerBody;
use super::call::Call;
use super::forwarded_body::ForwardedAnswer;
use super::forwarded_body::ForwardedBody;
use super::headers::remove_hop_by_hop;
use super::reply::build_response;
use super::request_log;
use super::sending::Head;
use super::sending::build_request;
use super::sending::send_attempt;
use crate::control::PermitGuard;
use crate::metrics::RequestLabels;
use crate::targets::SendFailure;

const MICROS_PER_MILLI: u64 = 1_000;

struct FinishedAttempt {
    attempt: usize,
    result: Result<Head, SendFailure>,
}

/// An exchange in progress.
pub(super) struct Runner {
    proxy_state: Arc<ProxyState>,
    call: Call,
    attempts: FuturesUnordered<BoxFuture<'static, FinishedAttempt>>,
    sent: Vec<SentAttempt>,
    head: Option<Head>,
    /// Permit under which the current attempt was sent.
    permit: Option<PermitGuard>,
    /// Time at which the current attempt counts as overdue.
    overdue_at_us: Option<u64>,
    /// Time at which a hedge is sent to another target.
    hedge_at_us: Option<u64>,
    is_logged: bool,
}

struct SentAttempt {
    target: Arc<Target>,
    sent_us: u64,
    counted: bool,
}

impl Runner {
    pub(super) fn new(proxy_state: Arc<ProxyState>, call: Call) -> Self {
        let is_logged = proxy_state
            .sampler
            .is_sampled(call.began_us, call.request_params.id());
        Self {
            is_logged,
            proxy_state,
            call,
            attempts: FuturesUnordered::new(),
            sent: Vec::new(),
            head: None,
            permit: None,
            overdue_at_us: None,
            hedge_at_us: None,
        }
    }

    /// Runs the exchange up to the head of the answer; the returned body continues it.
    pub(super) async fn run(mut self) -> Response<AnswerBody> {
        let mut step = self.handle_event(Event::Begin);
        loop {
            step = match step {
                Step::Claim => self.claim().await,
                Step::RequestPermit { candidate } => self.request_permit(candidate).await,
                Step::Enqueue => self.wait_in_queue().await,
                Step::Send { attempt, candidate } => {
                    self.start_attempt(attempt, candidate);
                    self.next_event().await
                }
                Step::Continue => self.next_event().await,
                Step::Forward { attempt } => return self.forward_answer(attempt),
                Step::Reply(reply) => return self.send_reply(reply),
                Step::Finish(outcome) => return self.send_reply(caller_gone_reply(outcome)),
                Step::AbortConnection => {
                    return self.send_reply(caller_gone_reply(Outcome::Unknown));
                }
            };
        }
    }

    fn handle_event(&mut self, event: Event) -> Step {
        let now_us = self.proxy_state.clock.now_us();
        let step = self.call.exchange.on(now_us, event, &mut rand::rng());
        if matches!(
            event,
            Event::Failed { .. } | Event::Head { .. } | Event::Deadline
        ) {
            self.proxy_state.request_queues.notify_target_freed();
        }
        step
    }

    async fn claim(&mut self) -> Step {
        let deadline = self.proxy_state.clock.instant(self.call.deadline_us);
        let claimed = tokio::time::timeout_at(deadline, self.call.record.try_claim()).await;
        match claimed {
            Ok(answer) => self.handle_event(Event::Claimed(answer)),
            Err(_) => self.handle_event(Event::Deadline),
        }
    }

    /// Requests a permit from the owner of a target of an overloaded service.
    async fn request_permit(&mut self, candidate: usize) -> Step {
        let table = self.call.exchange.table();
        let target = table.candidates[candidate].target.name.clone();
        let requested_us = self.proxy_state.clock.now_us();
        let left_us = self.call.deadline_us.saturating_sub(requested_us);
        let permits = &self.proxy_state.permits;
        let (answer, permit) = permits.ask(&self.proxy_state.control, target.clone(), left_us);
        let until_us = requested_us + PERMIT_TIMEOUT_US.min(left_us);
        let until = self.proxy_state.clock.instant(until_us);
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
            let now_us = self.proxy_state.clock.now_us();
            request_log::permit(&self.call, &target, answer, now_us - requested_us);
        }
        self.handle_event(Event::Permit(answer))
    }

    async fn wait_in_queue(&mut self) -> Step {
        let now_us = self.proxy_state.clock.now_us();
        let table = self.call.exchange.table().clone();
        let entered = self.proxy_state.request_queues.enqueue(
            now_us,
            &table,
            &self.call.customer,
            self.call.deadline_us,
        );
        let turn = match entered {
            Ok(turn) => turn,
            Err(refusal) => return self.handle_event(Event::Refused(refusal)),
        };
        let deadline = self.proxy_state.clock.instant(self.call.deadline_us);
        match tokio::time::timeout_at(deadline, turn).await {
            Ok(_) => self.handle_event(Event::Dequeued),
            Err(_) => {
                self.proxy_state
                    .request_queues
                    .remove_abandoned(&table.service.name, &self.call.customer);
                self.handle_event(Event::Deadline)
            }
        }
    }

    fn start_attempt(&mut self, attempt: usize, candidate: usize) {
        let table = self.call.exchange.table();
        let Candidate { target, load, .. } = table.candidates[candidate].clone();
        let now_us = self.proxy_state.clock.now_us();
        let slow_after_us = self.call.slow_after_us();
        self.overdue_at_us = slow_after_us.map(|slow_after_us| now_us + slow_after_us);
        self.hedge_at_us =
            slow_after_us.map(|slow_after_us| now_us + self.call.hedge_after_us(slow_after_us));
        self.sent.push(SentAttempt {
            target: target.clone(),
            sent_us: now_us,
            counted: false,
        });
        let needs_new_connection = !self.call.repeatable;
        let left_ms = self.call.deadline_us.saturating_sub(now_us) / MICROS_PER_MILLI;
        if self.is_logged || attempt > 0 {
            request_log::sent(&self.call, now_us, attempt, candidate, left_ms);
        }
        let mut parts = build_request(&self.call.parts);
        let headers = parts.headers_mut();
        self.proxy_state.header_protocol.prepare_request_headers(
            &self.call.request_params,
            &target,
            left_ms,
            headers,
        );
        let body = self.call.body.clone();
        let proxy_state = self.proxy_state.clone();
        let sending = async move {
            let result = send_attempt(
                &proxy_state,
                &target,
                &load,
                needs_new_connection,
                parts,
                &body,
            )
            .await;
            FinishedAttempt { attempt, result }
        };
        self.attempts.push(sending.boxed());
    }

    async fn next_event(&mut self) -> Step {
        let clock = self.proxy_state.clock;
        let deadline = clock.instant(self.call.deadline_us);
        let overdue = clock.instant(self.overdue_at_us.unwrap_or(u64::MAX / 4));
        let hedge = clock.instant(self.hedge_at_us.unwrap_or(u64::MAX / 4));
        tokio::select! {
            Some(finished) = self.attempts.next() => self.attempt_ended(finished),
            () = tokio::time::sleep_until(overdue), if self.overdue_at_us.is_some() => {
                self.overdue_at_us = None;
                self.report_overdue_attempts();
                self.handle_event(Event::HedgeDue)
            }
            () = tokio::time::sleep_until(hedge), if self.hedge_at_us.is_some() => {
                self.hedge_at_us = None;
                self.handle_event(Event::HedgeDue)
            }
            () = tokio::time::sleep_until(deadline) => {
                self.report_attempts_at_deadline();
                self.handle_event(Event::Deadline)
            }
        }
    }

    fn attempt_ended(&mut self, finished: FinishedAttempt) -> Step {
        let attempt = finished.attempt;
        let replayable = self.call.body.is_replayable();
        self.call.exchange.set_replayable(replayable);
        match finished.result {
            Ok(head) => self.handle_head(attempt, head),
            Err(failure) => {
                let (end, failure) = match failure {
                    SendFailure::NotSent => (AttemptEnd::NotSent, Failure::NotSent),
                    SendFailure::Leaving => (AttemptEnd::Cancelled, Failure::NotSent),
                    SendFailure::Unreachable => (AttemptEnd::Unreachable, Failure::NotSent),
                    SendFailure::Cut => (AttemptEnd::Cut, Failure::Cut),
                    SendFailure::AckTimeout => (AttemptEnd::Unreachable, Failure::Cut),
                    SendFailure::Malformed => (AttemptEnd::Cut, Failure::Malformed),
                };
                self.fail(attempt, end, failure)
            }
        }
    }

    /// Handles the head of an answer. If it is not the target's own answer to this
    /// request, the attempt fails and the connection is closed.
    fn handle_head(&mut self, attempt: usize, head: Head) -> Step {
        let response = &head.response;
        let status = response.status();
        let header_protocol = &self.proxy_state.header_protocol;
        match header_protocol.classify_answer(&self.call.request_params, status, response.headers())
        {
            AnswerKind::Own => {
                self.report_attempt_end(attempt, self.attempt_end(attempt, &head.response));
                self.head = Some(head);
                let status = status.as_u16();
                self.handle_event(Event::Head { attempt, status })
            }
            AnswerKind::NotRun => self.fail(attempt, AttemptEnd::Shed, Failure::Refused),
            AnswerKind::OtherTarget => {
                self.fail(attempt, AttemptEnd::Unreachable, Failure::Refused)
            }
            AnswerKind::Foreign => self.fail(attempt, AttemptEnd::Cut, Failure::Malformed),
        }
    }

    fn fail(&mut self, attempt: usize, end: AttemptEnd, failure: Failure) -> Step {
        self.permit = None;
        let sent = &self.sent[attempt];
        let after_us = self.proxy_state.clock.now_us().saturating_sub(sent.sent_us);
        request_log::attempt_failed(
            &self.call,
            attempt,
            &sent.target.name,
            (end, failure),
            after_us,
        );
        self.report_attempt_end(attempt, end);
        self.handle_event(Event::Failed { attempt, failure })
    }

    fn attempt_end(&self, attempt: usize, response: &Response<Incoming>) -> AttemptEnd {
        let status = response.status().as_u16();
        let sent = &self.sent[attempt];
        let sheds = sent.target.refusal_is_not_run || response.headers().contains_key(RETRY_AFTER);
        if status == 503 && sheds {
            return AttemptEnd::Shed;
        }
        AttemptEnd::Answered {
            good: status < 500,
            latency_us: self.proxy_state.clock.now_us().saturating_sub(sent.sent_us),
        }
    }

    fn report_attempt_end(&mut self, attempt: usize, end: AttemptEnd) {
        let sent = &mut self.sent[attempt];
        let observation = Observation {
            service: sent.target.service.clone(),
            target: sent.target.name.clone(),
            end,
            counted: sent.counted,
        };
        sent.counted = true;
        self.proxy_state.control.send(Input::Observed(observation));
    }

    fn report_overdue_attempts(&mut self) {
        for attempt in 0..self.sent.len() {
            if !self.sent[attempt].counted {
                self.report_attempt_end(attempt, AttemptEnd::Overdue);
            }
        }
    }

    /// Reports the unfinished attempts at the deadline. An attempt that had less time
    /// than answers usually take is no evidence about its target and counts as cancelled.
    fn report_attempts_at_deadline(&mut self) {
        let now_us = self.proxy_state.clock.now_us();
        for attempt in 0..self.sent.len() {
            let sent = &self.sent[attempt];
            if sent.counted {
                continue;
            }
            let slow_after_us = self.call.slow_after_us().unwrap_or(u64::MAX);
            let waited_us = now_us.saturating_sub(sent.sent_us);
            let end = match waited_us >= slow_after_us {
                true => AttemptEnd::Overdue,
                false => AttemptEnd::Cancelled,
            };
            self.report_attempt_end(attempt, end);
        }
    }

    fn forward_answer(mut self, attempt: usize) -> Response<AnswerBody> {
        let Some(head) = self.head.take() else {
            return self.send_reply(caller_gone_reply(Outcome::Unknown));
        };
        let sent = &self.sent[attempt];
        let now_us = self.proxy_state.clock.now_us();
        let answer_us = now_us.saturating_sub(self.call.began_us);
        let target_us = now_us.saturating_sub(sent.sent_us);
        let service = self.call.exchange.table().service.clone();
        self.proxy_state.metrics.observe_answer(
            &service.name,
            self.call.class.as_str(),
            answer_us,
            answer_us - target_us,
        );
        let status = head.response.status().as_u16();
        if self.is_logged || status >= 500 {
            log::info!(
                "event=request-answered id={} service={} attempt={attempt} target={} status={status} answer_ms={} target_ms={}",
                self.call.request_params.id(),
                service.name,
                sent.target.name,
                answer_us / MICROS_PER_MILLI,
                target_us / MICROS_PER_MILLI
            );
        }
        let answer = ForwardedAnswer {
            id: self.call.request_params.id().into(),
            class: self.call.class,
            proxy_state: self.proxy_state.clone(),
            exchange: self.call.exchange,
            record: self.call.record,
            target: sent.target.name.clone(),
            connection: Some(head.connection),
            guards: self.call.guards,
            _permit: self.permit,
        };
        let (mut parts, incoming) = head.response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        self.proxy_state
            .header_protocol
            .prepare_answer_headers(&mut parts.headers);
        if self.proxy_state.control.shared().table().draining {
            parts
                .headers
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        parts.version = hyper::Version::HTTP_11;
        Response::from_parts(parts, ForwardedBody::new(incoming, answer).boxed())
    }

    fn send_reply(mut self, reply: Reply) -> Response<AnswerBody> {
        self.call.record.finish(reply.outcome);
        let service = &self.call.exchange.table().service;
        self.proxy_state.metrics.count_request(&RequestLabels {
            service: service.name.to_string(),
            class: self.call.class.as_str().to_owned(),
            code: reply.code.number(),
            outcome: reply.outcome.to_string(),
        });
        let now_us = self.proxy_state.clock.now_us();
        request_log::failed(&self.call, now_us, self.sent.len(), &reply);
        build_response(&*self.proxy_state.header_protocol, &reply)
    }
}

fn caller_gone_reply(outcome: Outcome) -> Reply {
    Reply {
        code: ResultCode::CallerDisconnected,
        outcome,
        retry_after_ms: None,
    }
}
