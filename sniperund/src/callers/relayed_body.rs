//! The body of a response that another instance sends.

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

use super::admitted_request::AdmissionGuards;
use super::body::BoxError;
use super::caller_connection::ResponseLimits;
use super::caller_connection::ResponseWatch;
use super::early_response::close_when_sent;
use crate::Clock;
use crate::targets::Connection;

/// A body that holds its connection open, and the places of its request, until it ends.
pub(super) struct RelayedBody {
    incoming: Incoming,
    limits: ResponseLimits,
    watch: Arc<ResponseWatch>,
    clock: Clock,
    has_ended: bool,
    /// Taken when the response has ended.
    connection: Option<Connection>,
    _guards: Option<AdmissionGuards>,
}

impl RelayedBody {
    pub(super) fn new(
        incoming: Incoming,
        limits: ResponseLimits,
        clock: Clock,
        connection: Connection,
        guards: Option<AdmissionGuards>,
    ) -> Self {
        let length = incoming.size_hint().exact();
        Self {
            watch: limits.watch(clock.now_us(), length),
            incoming,
            limits,
            clock,
            has_ended: false,
            connection: Some(connection),
            _guards: guards,
        }
    }
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        ready!(self.limits.connection.buffer().poll_room(cx));
        let now_us = self.clock.now_us();
        self.watch.wait_for_target(now_us);
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.watch.receive(now_us, bytes);
                if let Some(connection) = &self.connection {
                    connection.add_passed_on(bytes);
                }
                self.limits.connection.buffer().add(bytes);
            }
            // The only sign of the end of a body without a length.
            Poll::Ready(None) => self.has_ended = true,
            _ => {}
        }
        polled.map_err(BoxError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        self.limits.connection.buffer().end_body();
        if self.has_ended || self.incoming.is_end_stream() {
            self.watch.finish(self.clock.now_us());
            if let Some(connection) = self.connection.take() {
                close_when_sent(connection);
            }
            return;
        }
        self.limits.connection.mark_broken_off();
        if let Some(reason) = self.watch.broken_off() {
            let received_bytes = self.watch.progress().received_bytes();
            log::warn!("event=relayed-answer-cut reason={reason} received_bytes={received_bytes}");
        }
    }
}
