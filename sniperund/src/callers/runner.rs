//! Runs an exchange: executes the steps that its state machine returns and passes the resulting
//! events back to it.

use std::sync::Arc;
use std::time::Duration;

use border::ResponseKind;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
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
use policy::exchange::Notice;
use policy::exchange::NoticedTarget;
use policy::exchange::Observation;
use policy::exchange::Reply;
use policy::exchange::Step;
use policy::exchange::TargetNotices;
use policy::instance::PERMIT_TIMEOUT_US;
use policy::instance::PermitAnswer;
use policy::limits::PermitRank;
use policy::routing::Candidate;
use policy::routing::TargetLoad;
use policy::routing::TargetProcess;

use super::ProxyState;
use super::admitted_request::AdmittedRequest;
use super::body::ResponseBody;
use super::crash_check::CrashCheck;
use super::forwarded_body::ForwardedBody;
use super::forwarded_body::ForwardedResponse;
use super::hand_over::HandOverResult;
use super::hand_over::insert_process;
use super::headers::names;
use super::headers::remove_hop_by_hop;
use super::reply::build_response;
use super::request_log;
use super::sending::ResponseHead;
use super::sending::build_request;
use super::sending::send_attempt;
use super::service::is_repeatable;
use crate::control::PermitGuard;
use crate::control::borrow_retry;
use crate::metrics::RequestLabels;
use crate::targets::SendFailure;

const MICROS_PER_MILLI: u64 = 1_000;
const NEVER_US: u64 = u64::MAX / 4;
/// Time after which a request is enqueued again if the targets with free slots have no room for its
/// body.
const BODY_ROOM_PERIOD: Duration = Duration::from_millis(20);

struct FinishedAttempt {
    attempt: usize,
    result: Result<ResponseHead, SendFailure>,
}

/// What happens to the attempts in flight.
enum Progress {
    Finished(Box<FinishedAttempt>),
    /// The request to borrow a retry was answered.
    RetryAnswered {
        is_lent: bool,
    },
    /// An attempt has become overdue.
    Overdue,
    /// A hedge is considered.
    HedgeCheckDue,
}

/// An exchange in progress.
pub(super) struct Runner {
    pub(super) proxy_state: Arc<ProxyState>,
    pub(super) request: AdmittedRequest,
    attempts: FuturesUnordered<BoxFuture<'static, FinishedAttempt>>,
    sent: Vec<SentAttempt>,
    head: Option<ResponseHead>,
    /// Permit under which the current attempt was sent.
    permit: Option<PermitGuard>,
    /// Time at which a hedge is considered.
    hedge_check_at_us: Option<u64>,
    /// Pending answer to a request to borrow a retry.
    retry_loan: Option<BoxFuture<'static, bool>>,
    pub(super) is_logged: bool,
}

struct SentAttempt {
    target: Arc<Target>,
    load: Arc<TargetLoad>,
    sent_us: u64,
    /// How often the attempt was reported as overdue.
    overdue_reports: u8,
    /// Time at which it is reported as overdue next.
    overdue_at_us: Option<u64>,
    has_full_time: bool,
    is_finished: bool,
    /// What the head of the forwarded response says about the target.
    answered: Option<AttemptEnd>,
}

impl SentAttempt {
    /// What the end of the attempt says about its target.
    fn observation(&self, end: AttemptEnd) -> Observation {
        Observation {
            service: self.target.service.clone(),
            target: self.target.name.clone(),
            end,
            overdue_reports: self.overdue_reports,
            has_full_time: self.has_full_time,
        }
    }
}

impl Runner {
    pub(super) fn new(proxy_state: Arc<ProxyState>, request: AdmittedRequest) -> Self {
        let is_logged = proxy_state
            .sampler
            .is_sampled(request.began_us, request.request_params.id());
        Self {
            is_logged,
            proxy_state,
            request,
            attempts: FuturesUnordered::new(),
            sent: Vec::new(),
            head: None,
            permit: None,
            hedge_check_at_us: None,
            retry_loan: None,
        }
    }

    /// Runs the exchange up to the head of the response; the returned body continues it.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        let mut step = self.handle_event(Event::Begin);
        loop {
            step = match step {
                Step::Claim => self.claim_key().await,
                Step::RequestPermit { candidate } => self.request_permit(candidate).await,
                Step::Enqueue => self.wait_in_queue().await,
                Step::Send { attempt, candidate } => {
                    self.start_attempt(attempt, candidate);
                    self.next_event().await
                }
                Step::Continue => self.next_event().await,
                Step::BorrowRetry => {
                    self.borrow_retry();
                    self.next_event().await
                }
                Step::HandOver => match self.hand_over().await {
                    HandOverResult::Response(response) => return response,
                    HandOverResult::Step(step) => step,
                },
                Step::Forward { attempt } => return self.forward_response(attempt),
                Step::Reply(reply) => return self.finish_with_reply(reply),
                Step::Finish(outcome) => {
                    return self.finish_with_reply(caller_disconnected_reply(outcome));
                }
                Step::AbortConnection => {
                    return self.finish_with_reply(caller_disconnected_reply(Outcome::Unknown));
                }
            };
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) -> Step {
        self.apply_newer_release();
        let now_us = self.proxy_state.clock.now_us();
        let last_answers_us = self.request.limits.last_answers_us();
        self.request.exchange.set_last_answers_us(last_answers_us);
        let step = self.request.exchange.on(now_us, event, &mut rand::rng());
        if matches!(
            event,
            Event::Failed { .. } | Event::Head { .. } | Event::Deadline | Event::LastAnswers
        ) {
            self.proxy_state.request_queues.notify_target_freed();
        }
        step
    }

    /// Forbids to repeat a request which a release that has come into force since it was routed
    /// serves by a route that may not be repeated.
    pub(super) fn apply_newer_release(&mut self) {
        let table = self.proxy_state.control.shared().table();
        let number = table.configuration.number;
        if number == self.request.checked_release {
            return;
        }
        self.request.checked_release = number;
        let path = self.request.parts.uri.path();
        let Some(route) = table.configuration.route(&self.request.host, path) else {
            return;
        };
        let service = table.services.get(&route.service);
        if !service.is_some_and(|service| is_repeatable(route, service)) {
            self.request.exchange.forbid_repeats();
        }
    }

    async fn claim_key(&mut self) -> Step {
        let request = &mut self.request;
        let claimed = request.limits.wait(request.record.try_claim()).await;
        self.handle_event(claimed.map_or_else(|end| end, Event::Claimed))
    }

    /// Requests a permit from the owner of a target of an overloaded service.
    async fn request_permit(&mut self, candidate: usize) -> Step {
        let table = self.request.exchange.table();
        let target = table.candidates[candidate].target.name.clone();
        let requested_us = self.proxy_state.clock.now_us();
        let left_us = self.request.deadline_us.saturating_sub(requested_us);
        let permits = &self.proxy_state.permits;
        let priority = self.request.exchange.priority();
        let rank = priority.map(|priority| PermitRank {
            priority,
            customer: self.request.customer.clone(),
        });
        let control = &self.proxy_state.control;
        let permit_left_us = self.request.exchange.permit_left_us(requested_us);
        let (answer, permit) = permits.request(control, target.clone(), permit_left_us, rank);
        let until_us = requested_us + PERMIT_TIMEOUT_US.min(left_us);
        let until = self.proxy_state.clock.instant(until_us);
        let answer = tokio::time::timeout_at(until, answer);
        let answer = match self.request.limits.wait(answer).await {
            Ok(Ok(Ok(answer))) => answer,
            Ok(Ok(Err(_)) | Err(_)) => PermitAnswer::Unknown,
            Err(end) => {
                permit.expire();
                return self.handle_event(end);
            }
        };
        match answer {
            PermitAnswer::Permitted { .. } => self.permit = Some(permit),
            PermitAnswer::Denied { .. } => drop(permit),
            PermitAnswer::Unknown => permit.expire(),
        }
        self.proxy_state.metrics.count_permit_answer(answer);
        if self.is_logged {
            let now_us = self.proxy_state.clock.now_us();
            request_log::log_permit_answer(&self.request, &target, answer, now_us - requested_us);
        }
        self.handle_event(Event::Permit(answer))
    }

    async fn wait_in_queue(&mut self) -> Step {
        let now_us = self.proxy_state.clock.now_us();
        let table = self.request.exchange.table().clone();
        let enqueued = self.proxy_state.request_queues.enqueue(
            now_us,
            &table,
            (self.request.exchange.priority(), &self.request.customer),
            self.request.deadline_us,
        );
        let mut turn = match enqueued {
            Ok(turn) => turn,
            Err(refusal) => return self.handle_event(Event::Refused(refusal)),
        };
        let response_time_us = self.request.exchange.response_time_us();
        let mut limits = self.request.limits.clone().reserving(response_time_us);
        let step = loop {
            let event = match limits.wait_or_shutdown(&mut turn).await {
                Ok(_) => {
                    let current = self.proxy_state.control.shared().table();
                    if let Some(table) = current.services.get(&table.service.name) {
                        self.request.exchange.refresh_table(table.clone());
                    }
                    match self.handle_event(Event::Dequeued) {
                        // Targets have free slots, but no room for the body.
                        Step::Enqueue if self.request.exchange.has_body() => {
                            let wait = tokio::time::sleep(BODY_ROOM_PERIOD);
                            match limits.wait(wait).await {
                                Ok(()) => return Step::Enqueue,
                                Err(end) => end,
                            }
                        }
                        step => return step,
                    }
                }
                Err(end) => end,
            };
            match self.handle_event(event) {
                Step::Continue => {}
                step => break step,
            }
        };
        drop(turn);
        self.proxy_state
            .request_queues
            .remove_abandoned(&table.service.name, &self.request.customer);
        step
    }

    fn start_attempt(&mut self, attempt: usize, candidate: usize) {
        let table = self.request.exchange.table();
        let Candidate { target, load, .. } = table.candidates[candidate].clone();
        let now_us = self.proxy_state.clock.now_us();
        let left_ms = self.request.deadline_us.saturating_sub(now_us) / MICROS_PER_MILLI;
        let overdue_after_us = self.request.overdue_after_us(0);
        let hedge_check_after_us = self.request.hedge_check_after_us();
        self.hedge_check_at_us = hedge_check_after_us.map(|after_us| now_us + after_us);
        self.sent.push(SentAttempt {
            target: target.clone(),
            load: load.clone(),
            sent_us: now_us,
            overdue_reports: 0,
            overdue_at_us: overdue_after_us.map(|after_us| now_us + after_us),
            has_full_time: self.request.is_full_time(left_ms),
            is_finished: false,
            answered: None,
        });
        let needs_new_connection = !self.request.repeatable;
        if self.is_logged || attempt > 0 || load.leaving_for_us(now_us).is_some() {
            request_log::log_sent_attempt(&self.request, now_us, attempt, candidate, left_ms);
        }
        let mut request_head = build_request(&self.request.parts);
        let headers = request_head.headers_mut();
        self.proxy_state.header_protocol.prepare_request_headers(
            &self.request.request_params,
            &target,
            left_ms,
            headers,
        );
        if let Some(identity) = &self.request.identity {
            let name = identity.name().map(|name| &**name);
            headers.remove(names::CUSTOMER);
            headers.remove(names::CUSTOMER_KEY);
            self.proxy_state.header_protocol.set_customer(name, headers);
        }
        let body = self.request.body.clone();
        let proxy_state = self.proxy_state.clone();
        let table = self.request.exchange.table().clone();
        let sending = async move {
            let result = send_attempt(
                &proxy_state,
                &table,
                candidate,
                needs_new_connection,
                request_head,
                &body,
            )
            .await;
            FinishedAttempt { attempt, result }
        };
        self.attempts.push(sending.boxed());
    }

    async fn next_event(&mut self) -> Step {
        let mut limits = self.request.limits.clone();
        match limits.wait(self.next_progress()).await {
            Ok(Progress::Finished(finished)) => self.handle_attempt_result(*finished),
            Ok(Progress::RetryAnswered { is_lent }) => {
                self.retry_loan = None;
                self.handle_event(Event::RetryAnswered { is_lent })
            }
            Ok(Progress::Overdue) => {
                self.report_overdue_attempts();
                self.handle_event(Event::HedgeDue)
            }
            Ok(Progress::HedgeCheckDue) => {
                self.schedule_hedge_check();
                self.handle_event(Event::HedgeDue)
            }
            Err(end) => {
                if end == Event::Deadline {
                    self.report_attempts_at_deadline();
                }
                self.handle_event(end)
            }
        }
    }

    /// Waits until something happens to the attempts that are in flight.
    async fn next_progress(&mut self) -> Progress {
        let clock = self.proxy_state.clock;
        let waiting = self.sent.iter().filter(|sent| !sent.is_finished);
        let overdue_at_us = waiting.filter_map(|sent| sent.overdue_at_us).min();
        let overdue = clock.instant(overdue_at_us.unwrap_or(NEVER_US));
        let hedge_check = clock.instant(self.hedge_check_at_us.unwrap_or(NEVER_US));
        tokio::select! {
            Some(finished) = self.attempts.next() => Progress::Finished(Box::new(finished)),
            is_lent = wait_for_loan(&mut self.retry_loan), if self.retry_loan.is_some() => {
                Progress::RetryAnswered { is_lent }
            }
            () = tokio::time::sleep_until(overdue), if overdue_at_us.is_some() => {
                Progress::Overdue
            }
            () = tokio::time::sleep_until(hedge_check), if self.hedge_check_at_us.is_some() => {
                Progress::HedgeCheckDue
            }
            else => std::future::pending().await,
        }
    }

    /// Schedules the next check for a hedge, if checks are periodic.
    fn schedule_hedge_check(&mut self) {
        let is_periodic = self.request.latency_profile().is_some();
        let after_us = self.request.hedge_check_after_us().filter(|_| is_periodic);
        let now_us = self.proxy_state.clock.now_us();
        self.hedge_check_at_us = after_us.map(|after_us| now_us + after_us);
    }

    fn borrow_retry(&mut self) {
        let service = self.request.exchange.table().service.name.clone();
        let pending = self.proxy_state.retry_loans.clone();
        let control = self.proxy_state.control.clone();
        self.retry_loan = Some(borrow_retry(pending, control, service).boxed());
    }

    fn handle_attempt_result(&mut self, finished: FinishedAttempt) -> Step {
        let attempt = finished.attempt;
        let replayable = self.request.body.is_replayable();
        self.request.exchange.set_replayable(replayable);
        match finished.result {
            Ok(head) => self.handle_head(attempt, head),
            Err(failure) => {
                let (end, failure) = match failure {
                    SendFailure::NotSent => (AttemptEnd::NotSent, Failure::NotSent),
                    SendFailure::Leaving => (AttemptEnd::Cancelled, Failure::NotSent),
                    SendFailure::Unreachable => (AttemptEnd::Unreachable, Failure::NotSent),
                    SendFailure::Cut => (AttemptEnd::Cut, Failure::Cut),
                    SendFailure::AckTimeout => (AttemptEnd::Unreachable, Failure::Cut),
                    SendFailure::BodyCut => (AttemptEnd::Cancelled, Failure::Cut),
                    SendFailure::Malformed => (AttemptEnd::Cut, Failure::Malformed),
                };
                self.handle_failure(attempt, end, failure)
            }
        }
    }

    /// Handles the head of a response. If it is not the target's own response to this request,
    /// the attempt fails and the connection is closed.
    fn handle_head(&mut self, attempt: usize, head: ResponseHead) -> Step {
        let response = &head.response;
        let status = response.status();
        let header_protocol = &self.proxy_state.header_protocol;
        let kind = header_protocol.classify_response(
            &self.request.request_params,
            status,
            response.headers(),
        );
        if matches!(kind, ResponseKind::Own | ResponseKind::NotRun) {
            self.report_notices(attempt, status, response.headers());
        }
        match kind {
            ResponseKind::Own => {
                self.report_survived_request();
                let end = self.determine_attempt_end(attempt, &head.response);
                let status = status.as_u16();
                let step = self.handle_event(Event::Head { attempt, status });
                match step {
                    // Reported when the body has ended.
                    Step::Forward { .. } => {
                        self.sent[attempt].answered = Some(end);
                        self.head = Some(head);
                    }
                    _ => self.report_attempt_end(attempt, end),
                }
                step
            }
            ResponseKind::NotRun => {
                self.handle_failure(attempt, AttemptEnd::Shed, Failure::Refused)
            }
            ResponseKind::OtherTarget => {
                self.handle_failure(attempt, AttemptEnd::Unreachable, Failure::Refused)
            }
            ResponseKind::Foreign => {
                self.handle_failure(attempt, AttemptEnd::Cut, Failure::Malformed)
            }
        }
    }

    /// Reports what the target of an attempt says about itself, and the end of a limit that it
    /// does not name any more.
    fn report_notices(&self, attempt: usize, status: StatusCode, headers: &HeaderMap) {
        let notices = self
            .proxy_state
            .header_protocol
            .parse_target_notices(status, headers);
        let sent = &self.sent[attempt];
        if notices == TargetNotices::default() && sent.load.rate_limit_milli().is_none() {
            return;
        }
        let now_us = self.proxy_state.clock.now_us();
        if notices.is_leaving == Notice::Stated(true) {
            sent.load.record_departure(now_us);
        }
        if let Notice::Stated(pause_ms) = notices.pause_ms {
            sent.load.pause_until(now_us + pause_ms * MICROS_PER_MILLI);
        }
        self.proxy_state.control.send(Input::Noticed(NoticedTarget {
            process: TargetProcess::of(&sent.target),
            sent_us: sent.sent_us,
            notices,
        }));
    }

    fn handle_failure(&mut self, attempt: usize, end: AttemptEnd, failure: Failure) -> Step {
        self.permit = None;
        let sent = &self.sent[attempt];
        let after_us = self.proxy_state.clock.now_us().saturating_sub(sent.sent_us);
        request_log::log_failed_attempt(
            &self.request,
            attempt,
            &sent.target.name,
            (end, failure),
            after_us,
        );
        self.report_attempt_end(attempt, end);
        if end == AttemptEnd::Cut {
            self.crash_check(attempt).start(&self.proxy_state);
        }
        self.handle_event(Event::Failed { attempt, failure })
    }

    /// Reports that a target has responded, if the request was at crashes before.
    fn report_survived_request(&self) {
        let fingerprint = self.request.exchange.fingerprint();
        let control = &self.proxy_state.control;
        if control.shared().quarantine().has_case(&fingerprint) {
            control.send(Input::RequestCleared(fingerprint));
        }
    }

    fn crash_check(&self, attempt: usize) -> CrashCheck {
        let sent = &self.sent[attempt];
        let fingerprint = self.request.exchange.fingerprint();
        CrashCheck::new(fingerprint, &sent.target, &sent.load)
    }

    fn determine_attempt_end(&self, attempt: usize, response: &Response<Incoming>) -> AttemptEnd {
        let status = response.status().as_u16();
        let sent = &self.sent[attempt];
        let is_marked_as_shed =
            sent.target.refusal_is_not_run || response.headers().contains_key(RETRY_AFTER);
        if status == 503 && is_marked_as_shed {
            return AttemptEnd::Shed;
        }
        AttemptEnd::Answered {
            good: status < 500,
            latency_us: self.proxy_state.clock.now_us().saturating_sub(sent.sent_us),
        }
    }

    fn report_attempt_end(&mut self, attempt: usize, end: AttemptEnd) {
        let is_lost = self.request.exchange.table().load.reachability.is_lost();
        let end = match end {
            // The fault of the instance's own link is no evidence against targets.
            AttemptEnd::NotSent if is_lost => AttemptEnd::Unreachable,
            end => end,
        };
        let sent = &mut self.sent[attempt];
        sent.is_finished |= end != AttemptEnd::Overdue;
        let observation = sent.observation(end);
        self.proxy_state.control.send(Input::Observed(observation));
    }

    fn report_overdue_attempts(&mut self) {
        let now_us = self.proxy_state.clock.now_us();
        for attempt in 0..self.sent.len() {
            let sent = &self.sent[attempt];
            let is_due = sent.overdue_at_us.is_some_and(|at_us| at_us <= now_us);
            if sent.is_finished || !is_due {
                continue;
            }
            self.report_attempt_end(attempt, AttemptEnd::Overdue);
            let sent = &mut self.sent[attempt];
            sent.overdue_reports += 1;
            let overdue_after_us = self.request.overdue_after_us(sent.overdue_reports);
            sent.overdue_at_us = overdue_after_us.map(|after_us| sent.sent_us + after_us);
        }
    }

    /// Reports the unfinished attempts at the deadline: their silence up to now was reported
    /// while it lasted, and an attempt with less time says nothing about its target.
    fn report_attempts_at_deadline(&mut self) {
        for attempt in 0..self.sent.len() {
            if !self.sent[attempt].is_finished {
                self.report_attempt_end(attempt, AttemptEnd::Cancelled);
            }
        }
    }

    fn forward_response(mut self, attempt: usize) -> Response<ResponseBody> {
        let Some(head) = self.head.take() else {
            return self.finish_with_reply(caller_disconnected_reply(Outcome::Unknown));
        };
        let sent = &self.sent[attempt];
        let target = sent.target.clone();
        let is_handed_over = self.request.exchange.is_handed_over();
        let body_in_flight = self.request.exchange.body_in_flight(attempt);
        let now_us = self.proxy_state.clock.now_us();
        let response_us = now_us.saturating_sub(self.request.began_us);
        let target_us = now_us.saturating_sub(sent.sent_us);
        let service = self.request.exchange.table().service.clone();
        self.proxy_state.metrics.observe_response(
            &service.name,
            self.request.class.as_str(),
            response_us,
            response_us - target_us,
        );
        let status = head.response.status().as_u16();
        if self.is_logged || status >= 500 {
            log::info!(
                "event=request-answered id={} service={} attempt={attempt} target={} status={status} answer_ms={} target_ms={}",
                self.request.request_params.id(),
                service.name,
                sent.target.name,
                response_us / MICROS_PER_MILLI,
                target_us / MICROS_PER_MILLI
            );
        }
        let response = ForwardedResponse {
            crash_check: self.crash_check(attempt),
            id: self.request.request_params.id().into(),
            class: self.request.class,
            proxy_state: self.proxy_state.clone(),
            exchange: self.request.exchange,
            record: self.request.record,
            limits: self.request.response_limits.clone(),
            observation: sent.observation(sent.answered.unwrap_or(AttemptEnd::Cancelled)),
            connection: Some(head.connection),
            body_in_flight,
            guards: self.request.guards,
            _permit: self.permit,
        };
        let (mut parts, incoming) = head.response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        self.proxy_state
            .header_protocol
            .prepare_response_headers(&mut parts.headers);
        if is_handed_over {
            insert_process(&target, &mut parts.headers);
        }
        if self.proxy_state.control.shared().table().draining {
            parts
                .headers
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        parts.version = hyper::Version::HTTP_11;
        Response::from_parts(parts, ForwardedBody::new(incoming, response).boxed())
    }

    fn finish_with_reply(mut self, reply: Reply) -> Response<ResponseBody> {
        if reply.code == ResultCode::ConnectFailed {
            self.probe_target();
        }
        self.request.record.finish(reply.outcome);
        let service = &self.request.exchange.table().service;
        self.proxy_state.metrics.count_request(&RequestLabels {
            service: service.name.to_string(),
            class: self.request.class.as_str().to_owned(),
            code: reply.code.number(),
            outcome: reply.outcome.to_string(),
        });
        let now_us = self.proxy_state.clock.now_us();
        request_log::log_failed_request(&self.request, now_us, self.sent.len(), &reply);
        build_response(&*self.proxy_state.header_protocol, &reply)
    }
}

/// Waits for the answer to a request to borrow a retry, if there is one.
async fn wait_for_loan(retry_loan: &mut Option<BoxFuture<'static, bool>>) -> bool {
    match retry_loan {
        Some(answer) => answer.await,
        None => std::future::pending().await,
    }
}

fn caller_disconnected_reply(outcome: Outcome) -> Reply {
    Reply {
        code: ResultCode::CallerDisconnected,
        outcome,
        retry_after_ms: None,
    }
}
