//! HTTP/1 connection to a target, with one exchange at a time.
//!
//! Dropping a connection closes it, so the response to a cancelled request is never read as the
//! response to a later one.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::target_stream::ReadAllowance;
use super::target_stream::TargetStream;

/// Body of a request to a target.
pub type OutBody = BoxBody<Bytes, hyper::Error>;

/// Timeout for opening a connection: less than the one second after which TCP retransmits a lost
/// SYN, as another target can be tried sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`).
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before TCP keep-alive probes, and the time between them: the shortest that the system
/// allows. If the link has been cut, the probes stay unacknowledged and [`ACK_TIMEOUT`] closes the
/// connection.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

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
    /// The response head was malformed, or its status is none of a final response.
    #[display("malformed response")]
    Malformed,
}

/// An open connection to a target.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<OutBody>,
    allowance: ReadAllowance,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting, or a timeout.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
        let keep_alive = TcpKeepalive::new()
            .with_time(KEEPALIVE_PERIOD)
            .with_interval(KEEPALIVE_PERIOD);
        socket.set_tcp_keepalive(&keep_alive)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let allowance = ReadAllowance::default();
        // For what a target sends before any request.
        allowance.begin_head();
        let stream = TargetStream::new(stream, allowance.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            allowance,
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
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            if error.take_message().is_some() {
                return SendFailure::NotSent;
            }
            match io_error_kind(error.error()) {
                _ if error.error().is_parse() => SendFailure::Malformed,
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
