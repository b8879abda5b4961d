//! The bytes of bodies that were taken from one connection and are not written to the other.
//!
//! The body asks for room before it passes a frame on, and the socket records what is written.
//! Both are polled by the task of the connection that is written to.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use parking_lot::Mutex;
use policy::limits::BodyMemory;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

#[derive(Debug, Default)]
struct State {
    held_bytes: u64,
    /// Bytes of the current body that were passed on.
    passed_bytes: u64,
    /// Memory that counts for the read buffers of the current body.
    read_buffer_bytes: u64,
    /// Bytes written since the connection was opened.
    written_bytes: u64,
    waker: Option<Waker>,
}

/// The bytes that wait for being written to a connection, which count as memory of the instance.
#[derive(Debug)]
pub struct ConnectionBuffer {
    memory: Arc<BodyMemory>,
    state: Mutex<State>,
    /// Whether a request's body is being passed on.
    is_sending: AtomicBool,
    /// Whether bytes of a request's body may be unacknowledged.
    has_upload: AtomicBool,
}

impl ConnectionBuffer {
    /// Creates the empty buffer of a connection.
    pub fn new(memory: Arc<BodyMemory>) -> Self {
        Self {
            memory,
            state: Mutex::default(),
            is_sending: AtomicBool::new(false),
            has_upload: AtomicBool::new(false),
        }
    }

    /// Waits until the connection may take more bytes.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if self.memory.may_take_more(state.held_bytes) {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records bytes that will be written.
    pub fn add(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.held_bytes += bytes as u64;
        state.passed_bytes += bytes as u64;
        self.memory.hold(bytes as u64);
        if state.read_buffer_bytes == 0 {
            state.read_buffer_bytes = self.memory.read_buffer_bytes(state.passed_bytes);
            self.memory.hold(state.read_buffer_bytes);
        }
    }

    /// Records that the current body has ended.
    pub fn end_body(&self) {
        let mut state = self.state.lock();
        state.passed_bytes = 0;
        self.memory
            .release(std::mem::take(&mut state.read_buffer_bytes));
    }

    /// Records bytes that were written. Heads and framing are among them, so that less may be held
    /// than was recorded.
    pub fn record_written(&self, bytes: usize) {
        let mut state = self.state.lock();
        state.written_bytes += bytes as u64;
        let written_bytes = state.held_bytes.min(bytes as u64);
        state.held_bytes -= written_bytes;
        self.memory.release(written_bytes);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Records that all bytes were written.
    pub fn clear(&self) {
        let mut state = self.state.lock();
        self.memory.release(std::mem::take(&mut state.held_bytes));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Bytes written since the connection was opened.
    pub fn written_bytes(&self) -> u64 {
        self.state.lock().written_bytes
    }

    /// Records that the body of a request begins.
    pub fn begin_upload(&self) {
        self.is_sending.store(true, Ordering::Release);
        self.has_upload.store(true, Ordering::Release);
    }

    /// Records that the body of a request was passed on or given up.
    pub fn end_sending(&self) {
        self.is_sending.store(false, Ordering::Release);
    }

    /// Records that the peer has acknowledged all bytes of the body that was passed on.
    pub fn end_upload(&self) {
        self.has_upload.store(false, Ordering::Release);
    }

    /// Whether a request's body is being passed on.
    pub fn is_sending(&self) -> bool {
        self.is_sending.load(Ordering::Acquire)
    }

    /// Whether bytes of a request's body may be unacknowledged.
    pub fn has_upload(&self) -> bool {
        self.has_upload.load(Ordering::Acquire)
    }

    /// Limits the bytes that the socket of the connection holds unsent.
    pub fn limit_unsent(&self, stream: &TcpStream) {
        let limit_bytes = self.memory.unsent_limit_bytes();
        let limit_bytes = u32::try_from(limit_bytes).unwrap_or(u32::MAX);
        if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(limit_bytes) {
            log::warn!("event=unsent-bytes-unlimited limit_bytes={limit_bytes} reason=\"{error}\"");
        }
    }

    /// Reads from a socket, only little at once while memory is scarce.
    pub fn poll_read(
        &self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit_bytes = self.memory.read_limit_bytes();
        let Some(limit_bytes) = limit_bytes.filter(|limit| *limit < buffer.remaining()) else {
            return Pin::new(stream).poll_read(cx, buffer);
        };
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit_bytes));
        let read = Pin::new(stream).poll_read(cx, &mut part);
        let read_bytes = part.filled().len();
        buffer.advance(read_bytes);
        read
    }
}

impl Drop for ConnectionBuffer {
    fn drop(&mut self) {
        let state = self.state.get_mut();
        self.memory
            .release(state.held_bytes + state.read_buffer_bytes);
    }
}
