//! Forwards the body of a target's response to the caller.
//!
//! The exchange ends with the body, which is complete, truncated by the target, or abandoned by
//! the caller. A truncated body ends with an error, which aborts the caller's connection, so
//! that the response cannot be mistaken for a complete one.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use model::ResultCode;
use model::configuration::Class;
use policy::Input;
use policy::exchange::AttemptEnd;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::Observation;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::ProxyState;
use super::admitted_request::AdmissionGuards;
use super::body::BoxError;
use super::command::CommandRecord;
use super::crash_check::CrashCheck;
use crate::control::PermitGuard;
use crate::metrics::RequestLabels;
use crate::targets::Connection;

/// Time without data after which a target's response counts as truncated.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// State of a request whose response is being forwarded.
pub(super) struct ForwardedResponse {
    /// Request id used in log lines.
    pub(super) id: Arc<str>,
    pub(super) class: Class,
    pub(super) proxy_state: Arc<ProxyState>,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    pub(super) target: Arc<str>,
    pub(super) connection: Option<Connection>,
    pub(super) guards: Option<AdmissionGuards>,
    pub(super) crash_check: CrashCheck,
    /// Permit under which the request was sent, held until the response ends.
    pub(super) _permit: Option<PermitGuard>,
}

/// The body of a target's response; ends the exchange when it ends or is dropped.
pub(super) struct ForwardedBody {
    incoming: Incoming,
    stall_timer: Pin<Box<Sleep>>,
    response: Option<ForwardedResponse>,
}

impl ForwardedBody {
    pub(super) fn new(incoming: Incoming, response: ForwardedResponse) -> Self {
        let mut body = Self {
            incoming,
            stall_timer: Box::pin(tokio::time::sleep(STALL_TIMEOUT)),
            response: Some(response),
        };
        if body.incoming.is_end_stream() {
            body.end(Event::Ended);
        }
        body
    }

    fn end(&mut self, event: Event) {
        if let Some(response) = self.response.take() {
            response.end(event);
        }
    }

    fn end_truncated(&mut self, error: BoxError) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.end(Event::Cut);
        Poll::Ready(Some(Err(error)))
    }
}

impl ForwardedResponse {
    fn end(mut self, event: Event) {
        let now_us = self.proxy_state.clock.now_us();
        let _ = self.exchange.on(now_us, event, &mut rand::rng());
        let outcome = self.exchange.outcome();
        self.record.finish(outcome);
        let service = self.exchange.table().service.clone();
        let code = match event {
            Event::Ended => ResultCode::Served,
            Event::Cut => ResultCode::TargetTruncated,
            _ => ResultCode::CallerDisconnected,
        };
        if event == Event::Ended
            && let Some(connection) = self.connection.take()
        {
            self.proxy_state.pool.put_back(connection);
        }
        if event == Event::Cut {
            self.crash_check.start(&self.proxy_state);
            self.proxy_state.control.send(Input::Observed(Observation {
                service: service.name.clone(),
                target: self.target.clone(),
                end: AttemptEnd::Cut,
                overdue_reports: 0,
                has_full_time: false,
            }));
            log::warn!(
                "event=answer-cut id={} code={} service={} target={}",
                self.id,
                code.number(),
                service.name,
                self.target
            );
        }
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
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer
                    .as_mut()
                    .reset(Instant::now() + STALL_TIMEOUT);
                if self.incoming.is_end_stream() {
                    self.end(Event::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => self.end_truncated(error.into()),
            Poll::Ready(None) => {
                self.end(Event::Ended);
                Poll::Ready(None)
            }
            Poll::Pending => match self.stall_timer.as_mut().poll(cx) {
                Poll::Ready(()) => self.end_truncated(ResultCode::TargetTruncated.phrase().into()),
                Poll::Pending => Poll::Pending,
            },
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
            Event::CallerDisconnected
        };
        self.end(event);
    }
}
