//! The socket of a connection to a target, and the bytes that it may send beyond its response.
//!
//! A faulty target may send bytes that belong to no body without end: interim responses, zeros of a
//! chunk size, extensions, trailers. They are read without being passed on to anyone, so that
//! reading them would occupy the instance. A connection therefore reads only a limited number of
//! bytes more than were passed on.
//!
//! While the body of a request is unacknowledged, the socket tells a target that pauses from a dead
//! one.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use policy::exchange::WINDOW_CHECK_PERIOD_US;
use policy::exchange::WindowStep;
use policy::exchange::WindowWatch;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::connection::MAX_HEAD_BYTES;
use super::send_state::read_send_state;
use crate::Clock;
use crate::bodies::ConnectionBuffer;

/// Bytes that are read while no head of a response was received: the head, and what is read of the
/// body with it.
const HEAD_ALLOWANCE_BYTES: i64 = 2 * MAX_HEAD_BYTES as i64;
/// Bytes of a body that are read before they are passed on: the buffers between the two.
const BODY_ALLOWANCE_BYTES: i64 = 8 * MAX_HEAD_BYTES as i64;
/// Bytes of a chunk's framing.
const FRAMING_BYTES: i64 = 64;

/// Number of bytes that may still be read.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadAllowance(Arc<AtomicI64>);

impl ReadAllowance {
    /// Allows the head of a response to be read.
    pub(super) fn begin_head(&self) {
        self.0.store(HEAD_ALLOWANCE_BYTES, Ordering::Relaxed);
    }

    /// Allows a body to be read ahead, once its head was received.
    pub(super) fn begin_body(&self) {
        self.0.fetch_add(BODY_ALLOWANCE_BYTES, Ordering::Relaxed);
    }

    /// Allows as many further bytes as were passed on in a frame.
    pub(super) fn add_passed_on(&self, bytes: usize) {
        let bytes = bytes as i64 + FRAMING_BYTES;
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) <= 0
    }

    fn use_up(&self, bytes: usize) {
        self.0.fetch_sub(bytes as i64, Ordering::Relaxed);
    }
}

/// The socket of a connection to a target.
pub(super) struct TargetStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    buffer: Arc<ConnectionBuffer>,
    clock: Clock,
    window: WindowWatch,
    /// Time of the next look at the window; `None` while nothing is watched.
    next_check: Option<Pin<Box<Sleep>>>,
}

impl TargetStream {
    pub(super) fn new(
        stream: TcpStream,
        allowance: ReadAllowance,
        buffer: Arc<ConnectionBuffer>,
    ) -> Self {
        Self {
            stream,
            allowance,
            buffer,
            clock: Clock::default(),
            window: WindowWatch::default(),
            next_check: None,
        }
    }

    /// Looks at the window from time to time while bytes of a body are unacknowledged.
    fn poll_window(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if !self.buffer.has_upload() {
            return Ok(());
        }
        let period = Duration::from_micros(WINDOW_CHECK_PERIOD_US);
        let next_check = self
            .next_check
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(period)));
        while next_check.as_mut().poll(cx).is_ready() {
            next_check.as_mut().reset(Instant::now() + period);
            let state = read_send_state(&self.stream)?;
            match self.window.check(self.clock.now_us(), state) {
                WindowStep::Keep => {}
                WindowStep::SetTimeout(timeout_us) => {
                    let timeout = Duration::from_micros(timeout_us);
                    SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))?;
                }
                WindowStep::Dead => return Err(io::ErrorKind::TimedOut.into()),
            }
            if !state.has_unacked && !self.buffer.is_sending() {
                self.buffer.end_upload();
                self.next_check = None;
                return Ok(());
            }
        }
        Ok(())
    }
}

impl TargetStream {
    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.buffer.record_written(*bytes);
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        if self.allowance.is_used_up() {
            let reason = "bytes that are no response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        self.poll_window(cx)?;
        let this = &mut *self;
        let read = this.buffer.poll_read(&mut this.stream, cx, buffer);
        let read_bytes = buffer.filled().len() - filled_bytes;
        self.allowance.use_up(read_bytes);
        read
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_window(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_window(cx)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.buffer.clear();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
