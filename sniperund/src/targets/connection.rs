//! One connection to a target, with one exchange at a time.
//!
//! A connection that is dropped is closed, so an exchange that was cancelled
//! never leaves an answer behind for the next one.

use std::io;
use std::net::SocketAddr;
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

/// The body of a request to a target.
pub type OutBody = BoxBody<Bytes, hyper::Error>;

/// Time to open a connection: under the second after which a lost first packet
/// is sent again, as another target can be asked by then.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Time after which bytes that were not acknowledged end a connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a connection without bytes is probed, and between probes: the
/// system's shortest. A link that was cut shows by the limit above.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Bytes of an answer's head at most; the users' heads take under 1 KB, and a target in
/// trouble may send bytes without end.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Why no head of an answer came.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request has left.
    #[display("not sent")]
    NotSent,
    /// The target leaves, and no byte of the request has left.
    #[display("target leaves")]
    Leaving,
    /// No connection was opened in time.
    #[display("unreachable")]
    Unreachable,
    /// The connection ended early.
    #[display("cut")]
    Cut,
    /// The connection went silent, which may be the link's fault.
    #[display("silent")]
    Silent,
    /// The answer was malformed.
    #[display("malformed")]
    Malformed,
}

/// A connection to a target.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<OutBody>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting, or of its time limit.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
        let keep_alive = TcpKeepalive::new()
            .with_time(KEEP_ALIVE)
            .with_interval(KEEP_ALIVE);
        socket.set_tcp_keepalive(&keep_alive)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            task,
        })
    }

    /// The target's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if no head came.
    pub async fn send(
        &mut self,
        request: Request<OutBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.sender
            .ready()
            .await
            .map_err(|_| SendFailure::NotSent)?;
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                if error.take_message().is_some() {
                    SendFailure::NotSent
                } else if error.error().is_parse() {
                    SendFailure::Malformed
                } else if is_silence(error.error()) {
                    SendFailure::Silent
                } else {
                    SendFailure::Cut
                }
            })
    }
}

/// Whether a connection ended since the other side acknowledged nothing.
fn is_silence(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
