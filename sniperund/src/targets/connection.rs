//! HTTP/1 connection to a target, with one exchange at a time.
//!
//! Dropping a connection closes it, so the response to a cancelled request is never read as the
//! response to a later one.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use policy::exchange::ACK_TIMEOUT_US;
use policy::exchange::STALL_TIMEOUT_US;
use policy::limits::BodyMemory;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::target_stream::ReadAllowance;
use super::target_stream::TargetStream;
use crate::bodies::ConnectionBuffer;
use crate::bodies::MeteredBody;

/// Body of a request to a target.
pub type OutBody = BoxBody<Bytes, hyper::Error>;

/// Timeout for opening a connection: less than the one second after which TCP retransmits a lost
/// SYN, as another target can be tried sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`), unless
/// the target pauses while it reads a body.
const ACK_TIMEOUT: Duration = Duration::from_micros(ACK_TIMEOUT_US);
/// Idle time before TCP keep-alive probes, and the time between them: the shortest that the system
/// allows. If the link has been cut, the probes stay unacknowledged and [`ACK_TIMEOUT`] closes the
/// connection.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Time between checks whether the rest of a body was sent.
const SENDING_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Maximum size of a response head, as a faulty target may send bytes without end; the heads of
/// the users' targets take under 1 KB.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Statuses of final responses. `hyper` passes on 101 and those above 599, although no request asks
/// for another protocol and HTTP has no such classes.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Reason why no response head was received.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was sent.
    #[display("request not sent")]
    NotSent,
    /// The target is leaving, and no byte of the request was sent.
    #[display("request not sent: target is leaving")]
    Leaving,
    /// The connection was not opened in time.
    #[display("connection not opened in time")]
    Unreachable,
    /// The connection was closed before the head was complete.
    #[display("connection closed before the response")]
    Cut,
    /// The target acknowledged no bytes in time, which may be a fault of the network.
    #[display("connection timed out without acknowledgement")]
    AckTimeout,
    /// The caller's body broke off while it was sent, which says nothing about the target.
    #[display("body of the request broke off")]
    BodyCut,
    /// The response head was malformed, or its status is none of a final response.
    #[display("malformed response")]
    Malformed,
}

/// An open connection to a target.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<MeteredBody<OutBody>>,
    allowance: ReadAllowance,
    buffer: Arc<ConnectionBuffer>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to `address`. The bytes of bodies that it holds count in `memory`.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting, or a timeout.
    pub async fn open(address: SocketAddr, memory: Arc<BodyMemory>) -> io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
        let keep_alive = TcpKeepalive::new()
            .with_time(KEEPALIVE_PERIOD)
            .with_interval(KEEPALIVE_PERIOD);
        socket.set_tcp_keepalive(&keep_alive)?;
        let buffer = Arc::new(ConnectionBuffer::new(memory));
        buffer.limit_unsent(&stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let allowance = ReadAllowance::default();
        // For what a target sends before any request.
        allowance.begin_head();
        let stream = TargetStream::new(stream, allowance.clone(), buffer.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            allowance,
            buffer,
            task,
        })
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records the bytes of a frame of the body that were passed on, so that as many are read.
    pub fn add_passed_on(&self, bytes: usize) {
        self.allowance.add_passed_on(bytes);
    }

    /// Whether the connection can send a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the body of a request is still being sent, as the response came early.
    pub fn is_sending(&self) -> bool {
        self.buffer.is_sending()
    }

    /// Waits until the target has acknowledged the rest of the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a timeout if nothing was written for [`STALL_TIMEOUT_US`], or the connection has ended.
    pub async fn finish_sending(&self) -> io::Result<()> {
        let mut written = (self.buffer.written_bytes(), Instant::now());
        while self.buffer.has_upload() {
            if self.sender.is_closed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let written_bytes = self.buffer.written_bytes();
            if written_bytes != written.0 {
                written = (written_bytes, Instant::now());
            }
            if written.1.elapsed() >= Duration::from_micros(STALL_TIMEOUT_US) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(SENDING_CHECK_PERIOD).await;
        }
        Ok(())
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if no head of a final response is received.
    pub async fn send(
        &mut self,
        request: Request<OutBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.sender
            .ready()
            .await
            .map_err(|_| SendFailure::NotSent)?;
        self.allowance.begin_head();
        let buffer = self.buffer.clone();
        let request = request.map(|body| MeteredBody::new(body, buffer));
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() {
                return SendFailure::NotSent;
            }
            match io_error_kind(error.error()) {
                _ if error.error().is_parse() => SendFailure::Malformed,
                _ if error.error().is_user() => SendFailure::BodyCut,
                // More bytes than the head of a response.
                Some(io::ErrorKind::InvalidData) => SendFailure::Malformed,
                // The target acknowledged no bytes in time.
                Some(io::ErrorKind::TimedOut) => SendFailure::AckTimeout,
                _ => SendFailure::Cut,
            }
        })?;
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Err(SendFailure::Malformed);
        }
        self.allowance.begin_body();
        Ok(response)
    }
}

/// Kind of the error of the socket that has ended a connection.
fn io_error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let source = std::error::Error::source(error)?;
    let source = source.downcast_ref::<io::Error>()?;
    Some(source.kind())
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
