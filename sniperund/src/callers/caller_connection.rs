//! The connection of a caller, and the time limit of the response that is written to it.
//!
//! A response is broken off by closing its connection, also if the caller reads nothing and the
//! body is therefore not asked for more. The connection is reset: a response without a length ends
//! with its connection for callers of HTTP/1.0, and would look complete.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use parking_lot::Mutex;
use policy::exchange::BodyLimits;
use policy::exchange::BodyProgress;
use policy::exchange::BodyStep;
use policy::exchange::BreakOffReason;
use policy::limits::BodyMemory;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::Clock;
use crate::bodies::ConnectionBuffer;

/// The limits of a response, and the connection that it is written to.
#[derive(Clone, Debug)]
pub(super) struct ResponseLimits {
    pub(super) connection: Arc<CallerConnection>,
    pub(super) body: BodyLimits,
}

impl ResponseLimits {
    /// Watches the response, of which a length in bytes may be declared.
    pub(super) fn watch(&self, now_us: u64, length: Option<u64>) -> Arc<ResponseWatch> {
        let progress = BodyProgress::new(now_us, self.body, length);
        self.connection.watch(progress)
    }
}

/// The state of a connection that its requests share.
#[derive(Debug)]
pub(super) struct CallerConnection {
    buffer: ConnectionBuffer,
    response: Mutex<Option<Arc<ResponseWatch>>>,
    is_broken_off: AtomicBool,
}

impl CallerConnection {
    /// Creates the state of a connection whose bytes of bodies count in `memory`.
    pub(super) fn new(memory: Arc<BodyMemory>) -> Self {
        Self {
            buffer: ConnectionBuffer::new(memory),
            response: Mutex::default(),
            is_broken_off: AtomicBool::new(false),
        }
    }

    /// The bytes of responses that wait for being written.
    pub(super) fn buffer(&self) -> &ConnectionBuffer {
        &self.buffer
    }

    /// Watches the response that is written to the connection.
    fn watch(&self, progress: BodyProgress) -> Arc<ResponseWatch> {
        let watch = Arc::new(ResponseWatch {
            progress: Mutex::new(progress),
            broken_off: Mutex::new(None),
            is_finished: AtomicBool::new(false),
        });
        *self.response.lock() = Some(watch.clone());
        watch
    }

    /// Marks the response as broken off, so that the connection is reset when it is closed.
    pub(super) fn mark_broken_off(&self) {
        self.is_broken_off.store(true, Ordering::Relaxed);
    }

    /// The response that is being written.
    fn current(&self) -> Option<Arc<ResponseWatch>> {
        self.response.lock().clone()
    }

    /// Records that all bytes were written.
    fn record_flush(&self) {
        let mut response = self.response.lock();
        if response.as_ref().is_some_and(|watch| watch.is_finished()) {
            *response = None;
        }
    }
}

/// Progress of a response that is written to a connection.
#[derive(Debug)]
pub(super) struct ResponseWatch {
    progress: Mutex<BodyProgress>,
    broken_off: Mutex<Option<BreakOffReason>>,
    is_finished: AtomicBool,
}

impl ResponseWatch {
    /// Returns a copy of the progress.
    pub(super) fn progress(&self) -> BodyProgress {
        *self.progress.lock()
    }

    /// Records that the caller can take more bytes.
    pub(super) fn wait_for_target(&self, now_us: u64) {
        self.progress.lock().wait_for_target(now_us);
    }

    /// Records bytes that were received.
    pub(super) fn receive(&self, now_us: u64, bytes: usize) {
        self.progress.lock().receive(now_us, bytes);
    }

    /// Records that the body has ended; the caller has yet to take what is not written.
    pub(super) fn finish(&self, now_us: u64) {
        self.progress.lock().finish(now_us);
        self.is_finished.store(true, Ordering::Relaxed);
    }

    /// Why the response was broken off; `None` if it was not.
    pub(super) fn broken_off(&self) -> Option<BreakOffReason> {
        *self.broken_off.lock()
    }

    fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::Relaxed)
    }
}

/// Serves a connection until it ends or its response is broken off.
pub(super) struct WatchedConnection<C> {
    served: Pin<Box<C>>,
    connection: Arc<CallerConnection>,
    clock: Clock,
    timer: Option<(Arc<ResponseWatch>, Pin<Box<Sleep>>)>,
}

impl<C: Future> WatchedConnection<C> {
    pub(super) fn new(served: C, connection: Arc<CallerConnection>, clock: Clock) -> Self {
        Self {
            served: Box::pin(served),
            connection,
            clock,
            timer: None,
        }
    }

    /// The timer of the response, which is set for its first check if the response is new.
    fn timer(&mut self, watch: &Arc<ResponseWatch>, now_us: u64) -> &mut Pin<Box<Sleep>> {
        let is_known = self
            .timer
            .as_ref()
            .is_some_and(|(known, _)| Arc::ptr_eq(known, watch));
        if !is_known {
            let timer = Box::pin(tokio::time::sleep(check_delay(watch, now_us)));
            self.timer = None;
            return &mut self.timer.insert((watch.clone(), timer)).1;
        }
        match &mut self.timer {
            Some((_, timer)) => timer,
            None => unreachable!("the timer is known"),
        }
    }
}

impl<C: Future> Future for WatchedConnection<C> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.served.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let Some(watch) = self.connection.current() else {
            self.timer = None;
            return Poll::Pending;
        };
        loop {
            let now_us = self.clock.now_us();
            let timer = self.timer(&watch, now_us);
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let step = watch.progress.lock().check(now_us);
            match step {
                BodyStep::CheckAt(at_us) => {
                    let delay = Duration::from_micros(at_us.saturating_sub(now_us));
                    timer.as_mut().reset(tokio::time::Instant::now() + delay);
                }
                BodyStep::BreakOff(reason) => {
                    if watch.is_finished() {
                        log::info!("event=caller-connection-reset reason={reason}");
                    }
                    *watch.broken_off.lock() = Some(reason);
                    self.connection.mark_broken_off();
                    return Poll::Ready(());
                }
            }
        }
    }
}

fn check_delay(watch: &ResponseWatch, now_us: u64) -> Duration {
    match watch.progress.lock().check(now_us) {
        BodyStep::CheckAt(at_us) => Duration::from_micros(at_us.saturating_sub(now_us)),
        BodyStep::BreakOff(_) => Duration::ZERO,
    }
}

/// The socket of a caller, which is reset when it is closed after a response was broken off.
pub(super) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> Self {
        connection.buffer.limit_unsent(&stream);
        Self { stream, connection }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.connection.buffer.record_written(*bytes);
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.connection.is_broken_off.load(Ordering::Relaxed) {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::warn!("event=connection-not-reset reason=\"{error}\"");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let connection = &this.connection;
        connection.buffer.poll_read(&mut this.stream, cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
            self.connection.buffer.clear();
            self.connection.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
