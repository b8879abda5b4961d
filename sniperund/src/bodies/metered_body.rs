//! The body of a request on its way to a target.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::ConnectionBuffer;

/// A body whose bytes count until they are written to the connection.
#[derive(Debug)]
pub struct MeteredBody<B> {
    body: B,
    buffer: Arc<ConnectionBuffer>,
}

impl<B: Body> MeteredBody<B> {
    /// Wraps a body that is written to the connection of `buffer`.
    pub fn new(body: B, buffer: Arc<ConnectionBuffer>) -> Self {
        if !body.is_end_stream() {
            buffer.begin_upload();
        }
        Self { body, buffer }
    }
}

impl<B> Drop for MeteredBody<B> {
    fn drop(&mut self) {
        self.buffer.end_body();
        self.buffer.end_sending();
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for MeteredBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        ready!(self.buffer.poll_room(cx));
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.buffer.add(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
