//! A small HTTP server for the fakes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// The body of an answer.
pub type Body = BoxBody<Bytes, io::Error>;

/// What answers a request; an error closes the connection.
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, io::Result<Response<Body>>> + Send + Sync>;

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                let service = service_fn(move |request| handler(request));
                let mut builder = http1::Builder::new();
                builder.timer(TokioTimer::new());
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move {
                    let _ = connection.await;
                });
            }
        });
        Ok(Self { address, task })
    }

    /// The address served at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A body of one piece.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// An answer of a status without a body.
pub(crate) fn status(status: StatusCode) -> io::Result<Response<Body>> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    Ok(response)
}
