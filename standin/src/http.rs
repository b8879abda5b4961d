//! A minimal HTTP/1.1 server for the fakes.

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

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Handles a request; an error closes the connection without a response.
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, io::Result<Response<Body>>> + Send + Sync>;

/// An HTTP server that stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server at `address` that passes each request to `handler`.
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

    /// Address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Builds a body from bytes that are all available.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed()
}

/// Builds a response that has the given status and an empty body.
pub(crate) fn empty_response(status: StatusCode) -> io::Result<Response<Body>> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    Ok(response)
}
