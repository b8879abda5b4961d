//! The administrative address.
//!
//! `/live`, `/ready`, `/metrics` and `/status`.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::Clock;
use crate::control::ControlHandle;
use crate::metrics::Gauges;
use crate::metrics::Metrics;

const MAX_CONNECTIONS: usize = 64;
/// Pause after a connection that could not be taken: a tenth of a balancer's period.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the administrative address until it is dropped.
pub struct Admin {
    address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone)]
struct Shown {
    ready_path: &'static str,
    control: ControlHandle,
    metrics: Arc<Metrics>,
    clock: Clock,
}

impl Admin {
    /// Serves at `address`, and tells readiness at `ready_path`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(
        address: SocketAddr,
        ready_path: &'static str,
        control: &ControlHandle,
        metrics: &Arc<Metrics>,
        clock: Clock,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shown = Shown {
            ready_path,
            control: control.clone(),
            metrics: metrics.clone(),
            clock,
        };
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = match listener.accept().await {
                    Ok(accepted) => accepted,
                    Err(error) => {
                        // For want of files, say; the balancer asks here again.
                        log::warn!("event=admin-accept-failed reason=\"{error}\"");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                };
                let Ok(place) = places.clone().try_acquire_owned() else {
                    continue;
                };
                let shown = shown.clone();
                let service = service_fn(move |request| answer(shown.clone(), request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move {
                    let _ = connection.await;
                    drop(place);
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

impl Drop for Admin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer(
    shown: Shown,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, text) = match request.uri().path() {
        "/live" => (StatusCode::OK, "live\n".to_owned()),
        path if path == shown.ready_path => ready(&shown),
        "/metrics" => (StatusCode::OK, metrics_text(&shown)),
        "/status" => match shown.control.status().await {
            Some(status) => (
                StatusCode::OK,
                serde_json::to_string(&status).unwrap_or_default(),
            ),
            None => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        },
        _ => (
            StatusCode::NOT_FOUND,
            "expected /live, /ready, /metrics or /status\n".to_owned(),
        ),
    };
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    Ok(response)
}

fn metrics_text(shown: &Shown) -> String {
    let table = shown.control.shared().table();
    let mut gauges = Gauges::default();
    gauges.add_process();
    gauges.add_services(shown.clock.now_us(), &table);
    shown.metrics.text(&gauges.into_text())
}

fn ready(shown: &Shown) -> (StatusCode, String) {
    let table = shown.control.shared().table();
    if table.ready && !table.draining {
        (StatusCode::OK, "ready\n".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
