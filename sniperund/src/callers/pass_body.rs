//! A target's answer on its way to the caller.
//!
//! The exchange ends with the body: whole, cut by the target, or given up by
//! the caller. A cut is an error of the body, so that the caller's connection
//! breaks and the answer cannot be taken for a whole one.

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

use super::Entry;
use super::body::BoxError;
use super::call::Places;
use super::command::CommandRecord;
use crate::control::Permit;
use crate::metrics::RequestLabels;
use crate::targets::Connection;

/// Time without a byte after which a target's answer counts as cut.
const STALL: Duration = Duration::from_secs(60);

/// What goes with a body until its end.
pub(super) struct PassedAnswer {
    /// The request's id, for the log.
    pub(super) id: Arc<str>,
    pub(super) class: Class,
    pub(super) entry: Arc<Entry>,
    pub(super) exchange: Exchange,
    pub(super) record: CommandRecord,
    pub(super) target: Arc<str>,
    pub(super) connection: Option<Connection>,
    pub(super) places: Places,
    /// The permit by which the request was sent, held to the end of the answer.
    pub(super) _permit: Option<Permit>,
}

/// The body of a target's answer.
pub(super) struct PassBody {
    incoming: Incoming,
    stall: Pin<Box<Sleep>>,
    answer: Option<PassedAnswer>,
}

impl PassBody {
    pub(super) fn new(incoming: Incoming, answer: PassedAnswer) -> Self {
        let mut body = Self {
            incoming,
            stall: Box::pin(tokio::time::sleep(STALL)),
            answer: Some(answer),
        };
        if body.incoming.is_end_stream() {
            body.end(Event::Ended);
        }
        body
    }

    fn end(&mut self, event: Event) {
        if let Some(answer) = self.answer.take() {
            answer.end(event);
        }
    }

    fn cut(&mut self, error: BoxError) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.end(Event::Cut);
        Poll::Ready(Some(Err(error)))
    }
}

impl PassedAnswer {
    fn end(mut self, event: Event) {
        let now_us = self.entry.clock.now_us();
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
            self.entry.pool.give(connection);
        }
        if event == Event::Cut {
            self.entry.control.tell(Input::Observed(Observation {
                service: service.name.clone(),
                target: self.target.clone(),
                end: AttemptEnd::Cut,
                counted: false,
            }));
            log::warn!(
                "event=answer-cut id={} code={} service={} target={}",
                self.id,
                code.number(),
                service.name,
                self.target
            );
        }
        self.entry.metrics.request(&RequestLabels {
            service: service.name.to_string(),
            class: self.class.as_str().to_owned(),
            code: code.number(),
            outcome: outcome.to_string(),
        });
        drop(self.places);
        self.entry.waiting.freed();
    }
}

impl Body for PassBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.stall.as_mut().reset(Instant::now() + STALL);
                if self.incoming.is_end_stream() {
                    self.end(Event::Ended);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => self.cut(error.into()),
            Poll::Ready(None) => {
                self.end(Event::Ended);
                Poll::Ready(None)
            }
            Poll::Pending => match self.stall.as_mut().poll(cx) {
                Poll::Ready(()) => self.cut(ResultCode::TargetTruncated.phrase().into()),
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

impl Drop for PassBody {
    fn drop(&mut self) {
        let event = if self.incoming.is_end_stream() {
            Event::Ended
        } else {
            Event::CallerDisconnected
        };
        self.end(event);
    }
}
