//! Forwards the body of a target's response to the caller.
//!
//! The exchange ends with the body, which is complete, truncated by the target, broken off at its
//! limits, or abandoned by the caller. Unless it is complete, the caller's connection is reset, so
//! that the response cannot be mistaken for a complete one.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use model::ResultCode;
use model::configuration::Class;
use policy::Input;
use policy::exchange::AttemptEnd;
use policy::exchange::BreakOffReason;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Observation;
use policy::routing::BodyInFlight;

use super::ProxyState;
use super::admitted_request::AdmissionGuards;
use super::body::BoxError;
use super::caller_connection::CallerConnection;
use super::caller_connection::ResponseLimits;
use super::caller_connection::ResponseWatch;
use super::command::CommandRecord;
use super::crash_check::CrashCheck;
use super::early_response::put_back_when_sent;
use crate::Clock;
use crate::control::PermitGuard;
use crate::metrics::RequestLabels;
use crate::targets::Connection;

const MICROS_PER_MILLI: u64 = 1_000;

/// State of a request whose response is being forwarded.
pub(super) struct ForwardedResponse {
    /// Request id used in log lines.
    pub(super) id: Arc<str>,
    pub(super) class: Class,
    pub(super) proxy_state: Arc<ProxyState>,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    pub(super) limits: ResponseLimits,
    /// What the response says about its target if it ends well.
    pub(super) observation: Observation,
    pub(super) connection: Option<Connection>,
    pub(super) guards: Option<AdmissionGuards>,
    /// The request's body, for which the target has room.
    pub(super) body_in_flight: Option<Arc<BodyInFlight>>,
    pub(super) crash_check: CrashCheck,
    /// Permit under which the request was sent, held until the response ends.
    pub(super) _permit: Option<PermitGuard>,
}

/// The body of a target's response; ends the exchange when it ends or is dropped.
pub(super) struct ForwardedBody {
    incoming: Incoming,
    watch: Arc<ResponseWatch>,
    clock: Clock,
    caller: Arc<CallerConnection>,
    response: Option<ForwardedResponse>,
}

impl ForwardedBody {
    pub(super) fn new(incoming: Incoming, response: ForwardedResponse) -> Self {
        let clock = response.proxy_state.clock;
        let length = incoming.size_hint().exact();
        let mut body = Self {
            watch: response.limits.watch(clock.now_us(), length),
            clock,
            caller: response.limits.connection.clone(),
            incoming,
            response: Some(response),
        };
        if body.incoming.is_end_stream() {
            body.end(Event::Ended);
        }
        body
    }

    fn add_passed_on(&self, bytes: usize) {
        let response = self.response.as_ref();
        if let Some(connection) = response.and_then(|response| response.connection.as_ref()) {
            connection.add_passed_on(bytes);
        }
    }

    fn end(&mut self, event: Event) {
        let Some(response) = self.response.take() else {
            return;
        };
        match event {
            Event::Ended => self.watch.finish(self.clock.now_us()),
            _ => response.limits.connection.mark_broken_off(),
        }
        self.caller.buffer().end_body();
        response.end(event, &self.watch);
    }
}

/// The event with which an exchange ends whose body is dropped before its end.
fn drop_event(broken_off: Option<BreakOffReason>) -> Event {
    match broken_off {
        Some(BreakOffReason::TimeLimit) => Event::Deadline,
        Some(BreakOffReason::TargetSilent) => Event::Cut,
        Some(BreakOffReason::CallerSlow) | None => Event::CallerDisconnected,
    }
}

impl ForwardedResponse {
    fn end(mut self, event: Event, watch: &ResponseWatch) {
        let now_us = self.proxy_state.clock.now_us();
        let _ = self.exchange.on(now_us, event, &mut rand::rng());
        let outcome = self.exchange.outcome();
        self.record.finish(outcome);
        let service = self.exchange.table().service.clone();
        let code = match event {
            Event::Ended => ResultCode::Served,
            Event::Cut => ResultCode::TargetTruncated,
            Event::Deadline => ResultCode::TargetTimeout,
            _ => ResultCode::CallerDisconnected,
        };
        if event == Event::Ended
            && let Some(connection) = self.connection.take()
        {
            put_back_when_sent(&self.proxy_state, connection, self.body_in_flight.take());
        }
        if event == Event::Cut {
            self.crash_check.start(&self.proxy_state);
        }
        if matches!(event, Event::Cut | Event::Deadline) {
            self.observation.end = AttemptEnd::Cut;
        }
        if event != Event::Ended {
            let reason = match (watch.broken_off(), event) {
                (Some(reason), _) => reason.to_string(),
                (None, Event::Cut) => "target-closed".to_owned(),
                (None, _) => "caller-closed".to_owned(),
            };
            log::warn!(
                "event=answer-cut id={} code={} service={} target={} reason={reason} received_bytes={} after_ms={}",
                self.id,
                code.number(),
                service.name,
                self.observation.target,
                watch.progress().received_bytes(),
                watch.progress().elapsed_us(now_us) / MICROS_PER_MILLI
            );
        }
        self.proxy_state
            .control
            .send(Input::Observed(self.observation));
        self.proxy_state.metrics.count_request(&RequestLabels {
            service: service.name.to_string(),
            class: self.class.as_str().to_owned(),
            code: code.number(),
            outcome: outcome.to_string(),
        });
        drop(self.guards);
        self.proxy_state.request_queues.notify_target_freed();
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        ready!(self.caller.buffer().poll_room(cx));
        let now_us = self.clock.now_us();
        self.watch.wait_for_target(now_us);
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.watch.receive(now_us, bytes);
                self.add_passed_on(bytes);
                self.caller.buffer().add(bytes);
                if self.incoming.is_end_stream() {
                    self.end(Event::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(Event::Cut);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(Event::Ended);
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        let event = if self.incoming.is_end_stream() {
            Event::Ended
        } else {
            drop_event(self.watch.broken_off())
        };
        self.end(event);
    }
}
