//! The body of a response that another instance sends.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::admitted_request::AdmissionGuards;
use crate::targets::Connection;

/// A body that holds its connection open, and the places of its request, until it ends.
pub(super) struct RelayedBody<B> {
    body: B,
    _connection: Connection,
    _guards: Option<AdmissionGuards>,
}

impl<B> RelayedBody<B> {
    pub(super) fn new(body: B, connection: Connection, guards: Option<AdmissionGuards>) -> Self {
        Self {
            body,
            _connection: connection,
            _guards: guards,
        }
    }
}

impl<B: Body + Unpin> Body for RelayedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
