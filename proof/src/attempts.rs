//! Attempts of simulated requests: transmission to the target, processing there, and the response.

use std::sync::Arc;

use policy::Input;
use policy::exchange::AttemptEnd;
use policy::exchange::Event as ExchangeEvent;
use policy::exchange::Failure;
use policy::exchange::Observation;
use rand::RngExt;

use super::Event;
use super::InjectionPoint;
use super::MILLI_US;
use super::Mode;
use super::SECOND_US;
use super::Sim;
use super::TargetFault;
use super::active_request::RequestAttempt;
use super::sim::SentRequest;
use super::target_fake::Admission;

const BODY_TRANSFER_US: u64 = MILLI_US;
/// Time after which a target that a note marks as leaving must get no new requests.
pub(super) const LEAVING_GRACE_US: u64 = 5 * SECOND_US;

impl Sim {
    pub(super) fn send_attempt(&mut self, id: u64, attempt: usize, candidate: usize) {
        let now_us = self.now_us;
        let request = &self.active_requests[&id];
        let Some(exchange) = &request.exchange else {
            return;
        };
        let table = exchange.table();
        let target = table.candidates[candidate].target.name.clone();
        let slow_us = table.slow_us();
        let needs_connection = !table.is_repeatable();
        if let Some(slow_us) = slow_us {
            self.queue
                .push(now_us + slow_us, Event::Overdue(id, attempt));
        }
        self.transmit(id, attempt, target, if needs_connection { 3 } else { 1 });
    }

    pub(super) fn transmit(
        &mut self,
        id: u64,
        attempt: usize,
        target: Arc<str>,
        one_way_trips: u64,
    ) {
        let now_us = self.now_us;
        let Some(request) = self.active_requests.get_mut(&id) else {
            return;
        };
        request.attempts.push(RequestAttempt {
            target: target.clone(),
            sent_us: now_us,
            is_observed: false,
            is_closed: false,
        });
        let (command, node) = (request.command.clone(), request.node);
        if command.is_some() {
            self.reach_point(InjectionPoint::Send, node, Some(&target));
        }
        let data_centre = self.nodes[node].data_centre;
        let to = self
            .targets
            .get(&target)
            .map_or(0, |target| target.data_centre);
        let delay_us = one_way_trips * self.one_way_us(data_centre, to);
        let sent = SentRequest {
            target,
            command,
            data_centre,
        };
        self.sent_requests.insert((id, attempt), sent);
        self.queue
            .push(now_us + delay_us, Event::RequestArrived(id, attempt));
    }

    /// Handles the arrival of a request at its target, whether or not the caller still waits for it.
    pub(super) fn handle_request_arrival(&mut self, id: u64, attempt: usize) {
        let Some(sent) = self.sent_requests.get(&(id, attempt)).cloned() else {
            return;
        };
        if let Some(request) = self
            .active_requests
            .get(&id)
            .filter(|request| request.command.is_some())
        {
            let node = request.node;
            self.reach_point(InjectionPoint::Work, node, Some(&sent.target));
        }
        if let Some(since_us) = self.leaving.get(&sent.target)
            && self.now_us > since_us + LEAVING_GRACE_US
        {
            self.stats.late_requests += 1;
        }
        let now_us = self.now_us;
        let Some(target) = self.targets.get_mut(&sent.target) else {
            return;
        };
        target.requests += 1;
        let one_way_us = if target.data_centre == sent.data_centre {
            MILLI_US / 4
        } else {
            self.deployment.one_way_us
        };
        match target.fault.at(now_us, sent.data_centre == 0) {
            TargetFault::Dead => self.queue.push(
                now_us + one_way_us,
                Event::AttemptFailed(id, attempt, Failure::NotSent),
            ),
            TargetFault::Hung => self.record_run(&sent),
            TargetFault::Shedding => self
                .queue
                .push(now_us + one_way_us, Event::ResponseHead(id, attempt, 503)),
            _ => match target.admit(id, attempt) {
                Admission::Start => self.start_work(id, attempt),
                Admission::Queued => {}
                Admission::Refused => self
                    .queue
                    .push(now_us + one_way_us, Event::ResponseHead(id, attempt, 503)),
            },
        }
    }

    pub(super) fn record_run(&mut self, sent: &SentRequest) {
        if let Some(command) = &sent.command {
            *self.stats.runs.entry(command.clone()).or_default() += 1;
        }
    }

    pub(super) fn start_work(&mut self, id: u64, attempt: usize) {
        let Some(sent) = self.sent_requests.get(&(id, attempt)).cloned() else {
            return;
        };
        self.record_run(&sent);
        let now_us = self.now_us;
        let duration_factor = -(1.0 - self.rng.random::<f64>()).ln();
        let failure_draw = self.rng.random::<f64>();
        let Some(target) = self.targets.get_mut(&sent.target) else {
            return;
        };
        let fault = target.fault.at(now_us, sent.data_centre == 0);
        let (slowdown, failure_share) = match fault {
            TargetFault::Slow(slowdown) => (slowdown, target.baseline_error_rate),
            TargetFault::Failing(failure_share) => (1.0, failure_share),
            _ => (1.0, target.baseline_error_rate),
        };
        let work_us = (target.work_us as f64 * slowdown * duration_factor) as u64;
        let status = if failure_draw < failure_share {
            500
        } else {
            200
        };
        self.queue
            .push(now_us + work_us, Event::WorkDone(id, attempt, status));
    }

    /// Finishes a request at its target: sends the response and starts the next queued request.
    pub(super) fn finish_work(&mut self, id: u64, attempt: usize, status: u16) {
        let Some(sent) = self.sent_requests.remove(&(id, attempt)) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&sent.target) else {
            return;
        };
        let next = target.finish();
        let (from, fault) = (target.data_centre, target.fault);
        let one_way_us = self.one_way_us(sent.data_centre, from);
        match fault {
            TargetFault::Dead => {
                let event = Event::AttemptFailed(id, attempt, Failure::Cut);
                self.queue.push(self.now_us + one_way_us, event);
            }
            TargetFault::Hung => {}
            _ => self.queue.push(
                self.now_us + one_way_us,
                Event::ResponseHead(id, attempt, status),
            ),
        }
        if let Some((id, attempt)) = next {
            self.start_work(id, attempt);
        }
    }

    /// Handles the head of a response at the node.
    pub(super) fn handle_response_head(&mut self, id: u64, attempt: usize, status: u16) {
        let Some(sent_us) = self.close_attempt(id, attempt) else {
            return;
        };
        self.reach_point_at_target(InjectionPoint::FirstByte, id, attempt);
        let end = if status == 503 {
            AttemptEnd::Shed
        } else {
            AttemptEnd::Answered {
                good: status < 500,
                latency_us: self.now_us - sent_us,
            }
        };
        self.observe(id, attempt, end);
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, attempt, status < 500);
        }
        self.handle_exchange_event(id, ExchangeEvent::Head { attempt, status });
    }

    /// Handles an attempt that failed before any response head.
    pub(super) fn handle_attempt_failure(&mut self, id: u64, attempt: usize, failure: Failure) {
        if self.close_attempt(id, attempt).is_none() {
            return;
        }
        let end = if failure == Failure::NotSent {
            AttemptEnd::NotSent
        } else {
            AttemptEnd::Cut
        };
        self.observe(id, attempt, end);
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, attempt, false);
        }
        self.handle_exchange_event(id, ExchangeEvent::Failed { attempt, failure });
    }

    /// Closes an attempt and returns when it was sent, or `None` if the attempt or its request
    /// has already ended.
    pub(super) fn close_attempt(&mut self, id: u64, attempt: usize) -> Option<u64> {
        let request = self.active_requests.get_mut(&id)?;
        let attempt = request.attempts.get_mut(attempt)?;
        if attempt.is_closed {
            return None;
        }
        attempt.is_closed = true;
        Some(attempt.sent_us)
    }

    pub(super) fn observe(&mut self, id: u64, attempt: usize, end: AttemptEnd) {
        let Some(request) = self.active_requests.get_mut(&id) else {
            return;
        };
        let node = request.node;
        let service = request.service.clone();
        let sent = &mut request.attempts[attempt];
        let observation = Observation {
            service,
            target: sent.target.clone(),
            end,
            overdue_reports: u8::from(sent.is_observed),
            has_full_time: true,
        };
        sent.is_observed = true;
        if self.mode != Mode::RoundRobin {
            self.handle_input(node, Input::Observed(observation));
        }
    }

    /// Reports an attempt that has no response yet as overdue, and lets the exchange send a hedge.
    pub(super) fn handle_overdue(&mut self, id: u64, attempt: usize) {
        let Some(request) = self.active_requests.get(&id) else {
            return;
        };
        if request.attempts[attempt].is_closed || request.attempts[attempt].is_observed {
            return;
        }
        self.observe(id, attempt, AttemptEnd::Overdue);
        self.handle_exchange_event(id, ExchangeEvent::HedgeDue);
    }

    /// Handles the deadline of a request. A response that is being forwarded is not interrupted.
    pub(super) fn handle_deadline(&mut self, id: u64) {
        let Some(request) = self.active_requests.get(&id) else {
            return;
        };
        if request.forwarding.is_some() {
            return;
        }
        let open: Vec<usize> = (0..request.attempts.len())
            .filter(|at| !request.attempts[*at].is_closed && !request.attempts[*at].is_observed)
            .collect();
        for attempt in open {
            self.observe(id, attempt, AttemptEnd::Overdue);
        }
        if self.mode == Mode::RoundRobin {
            return self.end_round_robin(id, 0, false);
        }
        self.handle_exchange_event(id, ExchangeEvent::Deadline);
    }

    pub(super) fn forward_body(&mut self, id: u64, attempt: usize) {
        let Some(request) = self.active_requests.get_mut(&id) else {
            return;
        };
        request.forwarding = Some(attempt);
        self.reach_point_at_target(InjectionPoint::Body, id, attempt);
        let request = &self.active_requests[&id];
        let target = self.targets.get(&request.attempts[attempt].target);
        let is_complete = target.is_none_or(|target| target.fault != TargetFault::Cutting);
        self.queue.push(
            self.now_us + BODY_TRANSFER_US,
            Event::BodyEnd(id, attempt, is_complete),
        );
    }

    /// Handles the end of a response body at the node.
    pub(super) fn handle_body_end(&mut self, id: u64, attempt: usize, is_complete: bool) {
        if self
            .active_requests
            .get(&id)
            .is_none_or(|request| request.forwarding != Some(attempt))
        {
            return;
        }
        if !is_complete {
            let request = &mut self.active_requests.get_mut(&id);
            if let Some(request) = request {
                request.attempts[attempt].is_observed = false;
            }
            self.observe(id, attempt, AttemptEnd::Cut);
        }
        self.reach_point_at_target(InjectionPoint::End, id, attempt);
        self.handle_exchange_event(
            id,
            if is_complete {
                ExchangeEvent::Ended
            } else {
                ExchangeEvent::Cut
            },
        );
    }
}
